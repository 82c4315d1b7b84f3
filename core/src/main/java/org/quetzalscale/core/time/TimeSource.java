package org.quetzalscale.core.time;

/** Source of time, passed in so that tests can use virtual time. */
@FunctionalInterface
public interface TimeSource {
    /** Monotonic time in milliseconds; only differences have a meaning. */
    long nowMillis();

    /** The monotonic clock of this process. */
    static TimeSource system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
