package org.quetzalscale.core.lease;

/** What is known about an acquisition of a lease that got no answer. */
public enum AcquisitionOutcome {
    /** No answer was received. It may have been carried out, or may be carried out later. */
    UNANSWERED,
    /** It was carried out: the lease row has this instance's name. */
    COMMITTED,
    /**
     * The lease row has another name. Whether the acquisition was carried out before is not known.
     */
    OVERTAKEN,
    /** It was not carried out and cannot be any more: a later one has changed the lease row. */
    REPLACED
}
