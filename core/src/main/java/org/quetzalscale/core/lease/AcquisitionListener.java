package org.quetzalscale.core.lease;

/** Receives what becomes known about acquisitions that got no answer, for logs. */
@FunctionalInterface
public interface AcquisitionListener {
    /**
     * Called after an acquisition got no answer, and when its outcome becomes known.
     *
     * @param detail the cause of the failure, or the holder that the lease row names
     */
    void accept(AcquisitionOutcome outcome, String detail);
}
