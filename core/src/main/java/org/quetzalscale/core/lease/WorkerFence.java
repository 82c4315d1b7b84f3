package org.quetzalscale.core.lease;

/**
 * Fencing token that one owner sends to one worker. It rises whenever an order to the worker gets
 * no answer: a worker that has accepted the higher token rejects the order if it arrives late, also
 * after a restart in which the worker has forgotten all stops.
 *
 * <p>The tokens of an owner are higher than all tokens of the owners before it, because the version
 * of the lease rises with each acquisition. Nothing has to be recorded.
 */
public final class WorkerFence {
    /** Number of tokens of one owner for each worker. */
    private static final long TOKENS_PER_OWNER = 1 << 20;

    private final long last;
    private long current;

    /**
     * Creates the token of an owner.
     *
     * @param leaseVersion version that fences the owner's lease
     */
    public WorkerFence(long leaseVersion) {
        this.current = leaseVersion * TOKENS_PER_OWNER;
        this.last = current + TOKENS_PER_OWNER - 1;
    }

    /** The token to send with the next order. */
    public long current() {
        return current;
    }

    /**
     * Raises the token, so that the worker rejects the orders that were sent so far once it has
     * accepted a later one. The last token of an owner is kept.
     */
    public void raise() {
        current = Math.min(last, current + 1);
    }

    /**
     * Whether the token was raised after an order was sent with it. A worker that rejects the order
     * then need not follow a newer owner.
     */
    public boolean wasRaisedAfter(long sentToken) {
        return sentToken < current;
    }
}
