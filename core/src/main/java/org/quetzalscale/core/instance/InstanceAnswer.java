package org.quetzalscale.core.instance;

/** The platform's answer to an order for an instance. */
public enum InstanceAnswer {
    /** Done, now or before. */
    DONE,
    /** Another holder has used a newer fence. */
    FENCED,
    /** The instance is not up. */
    BUSY,
    /** Refused for another reason; a repetition will not help. */
    REJECTED,
    /** Nothing was done, for the time being. */
    UNAVAILABLE,
    /** No answer: the order may have been carried out. */
    UNKNOWN
}
