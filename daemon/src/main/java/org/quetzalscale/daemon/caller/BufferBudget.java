package org.quetzalscale.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that all requests of the process hold in buffers. */
final class BufferBudget {
    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes as held; returns whether the total is within the bound. */
    boolean hold(int bytes) {
        return heldBytes.addAndGet(bytes) <= maxBytes;
    }

    void release(int bytes) {
        heldBytes.addAndGet(-bytes);
    }

    long heldBytes() {
        return heldBytes.get();
    }
}
