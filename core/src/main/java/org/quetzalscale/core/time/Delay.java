package org.quetzalscale.core.time;

/** Runs actions later, passed in so that tests can use virtual time. */
@FunctionalInterface
public interface Delay {
    /** Runs the action once, after the given time in milliseconds and not in the calling thread. */
    void after(long delayMillis, Runnable action);
}
