package org.quetzalscale.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that all requests of the process buffer together. */
final class BufferBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds bytes to the total, also above the limit; returns whether the total is within it. */
    boolean reserve(int bytes) {
        return reservedBytes.addAndGet(bytes) <= maxBytes;
    }

    void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    long reservedBytes() {
        return reservedBytes.get();
    }
}
