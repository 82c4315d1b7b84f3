package org.quetzalscale.core.task;

/** A worker's answer to an order. */
public enum OrderAnswer {
    /** The order was carried out, by this call or an earlier one. */
    ACCEPTED,
    /** The worker has seen a higher fence, of a newer owner. */
    FENCED,
    /** The run number is not higher than that of a run that ended on the worker. */
    OLD_RUN,
    /** The lease sent with the order has expired. */
    EXPIRED,
    /** The worker lacks the free resources for the task. */
    NO_ROOM,
    /** The worker is unhealthy and did not carry out the order. */
    UNHEALTHY,
    /** The worker does not support the order, or rejects it for another reason. */
    REJECTED,
    /** Another incarnation of the worker answered at the address. */
    OTHER_INCARNATION,
    /** The order was not sent. */
    NOT_SENT,
    /** No answer was received: the order may have been carried out, or may still be. */
    UNKNOWN
}
