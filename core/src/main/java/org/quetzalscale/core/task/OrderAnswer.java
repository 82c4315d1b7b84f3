package org.quetzalscale.core.task;

/** A worker's answer to an order. */
public enum OrderAnswer {
    /** The order was carried out, now or before. */
    ACCEPTED,
    /** The worker follows an owner with a newer fence. */
    FENCED,
    /** The run is not newer than one that ended on the worker. */
    OLD_RUN,
    /** The lease that came with the order has expired. */
    EXPIRED,
    /** The task does not fit. */
    NO_ROOM,
    /** The worker is unhealthy and did nothing. */
    UNHEALTHY,
    /** The worker understands no such order, or refuses it for another reason. */
    REJECTED,
    /** Another incarnation answers at the address. */
    OTHER_INCARNATION,
    /** The order did not leave this process. */
    NOT_SENT,
    /** No answer: the order may have been carried out, or may be later. */
    UNKNOWN
}
