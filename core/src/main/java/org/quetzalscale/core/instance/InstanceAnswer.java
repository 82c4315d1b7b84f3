package org.quetzalscale.core.instance;

/** The platform's answer to a move or maintenance order. */
public enum InstanceAnswer {
    /** The order was carried out, by this call or an earlier one. */
    DONE,
    /** The platform has seen a higher fence, of a newer owner. */
    FENCED,
    /** The instance is not up. */
    BUSY,
    /** The order was rejected for another reason; a retry will not help. */
    REJECTED,
    /** The order was not carried out; a retry may help. */
    UNAVAILABLE,
    /** No answer was received: the order may have been carried out. */
    UNKNOWN
}
