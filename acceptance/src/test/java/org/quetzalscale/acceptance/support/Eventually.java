package org.quetzalscale.acceptance.support;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition by asking for it until a deadline. */
public final class Eventually {
    private static final long POLL_NANOS = 10_000_000;

    private Eventually() {}

    /** Returns as soon as the condition holds; fails if it does not within the limit. */
    public static void await(String what, Duration limit, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError(what + ": not within " + limit);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
