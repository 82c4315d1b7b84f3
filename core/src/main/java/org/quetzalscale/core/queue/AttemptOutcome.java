package org.quetzalscale.core.queue;

/** Outcome of one attempt on a worker, as used for worker selection. */
public enum AttemptOutcome {
    /** The target responded with a status below 500. */
    ANSWERED,
    /** The target responded with status 500 or above. */
    FAILED,
    /** The target rejected the request because it is full; nothing ran. */
    REFUSED,
    /** No connection to the target could be opened. */
    UNREACHABLE,
    /** The connection broke or timed out after request bytes may have been sent. */
    BROKEN,
    /**
     * The attempt was given up for a reason that says nothing about the worker, such as a caller
     * that disconnected. The request may have been sent.
     */
    ABANDONED,
    /** Nothing was sent, for a reason that says nothing about the worker. */
    NOT_SENT
}
