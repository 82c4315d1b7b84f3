package org.quetzalscale.core.time;

/** Schedules delayed actions; injected so that tests can use virtual time. */
@FunctionalInterface
public interface Delay {
    /**
     * Runs the action once after the given delay in milliseconds, in a thread other than the
     * caller's.
     */
    void after(long delayMillis, Runnable action);
}
