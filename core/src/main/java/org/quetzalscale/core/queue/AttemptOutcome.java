package org.quetzalscale.core.queue;

/** How an attempt on a worker ended, as far as the choice of workers is concerned. */
public enum AttemptOutcome {
    /** The target answered. */
    ANSWERED,
    /** The target answered with a failure of its own (status 500 and above). */
    FAILED,
    /** The target refused because it is full, before it ran anything. */
    REFUSED,
    /** No connection could be opened. */
    UNREACHABLE,
    /** The connection broke or stayed silent after bytes may have left. */
    BROKEN,
    /** The caller went away; says nothing about the worker. */
    ABANDONED,
    /** No byte was sent, for a reason that says nothing about the worker. */
    NOT_SENT
}
