package org.quetzalscale.core.time;

/** A monotonic clock; injected so that tests can use virtual time. */
@FunctionalInterface
public interface TimeSource {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    long nowMillis();

    /** The monotonic clock of this process. */
    static TimeSource system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
