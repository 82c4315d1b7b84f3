package org.quetzalscale.core;

import org.quetzalscale.core.time.TimeSource;

/** A clock that tests move. */
public final class VirtualTime implements TimeSource {
    private long nowMillis = 1_000_000;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    /** Moves the clock forward. */
    public void advance(long millis) {
        nowMillis += millis;
    }
}
