package org.quetzalscale.standin.load;

/** How one request of a load run ended. */
enum LoadOutcome {
    /** Its own complete response with a status of 2xx. */
    OK,
    /** A refusal that says that it did not run. */
    NOT_RUN,
    /** An answer that says that it may have run. */
    UNKNOWN,
    /** Any other answer with an error status. */
    ERROR,
    /** A response that belongs to another request or is not complete. */
    WRONG,
    /** No answer, or a connection that broke. */
    NO_ANSWER,
    /** Not sent, since too many were in flight. */
    NOT_SENT
}
