package org.quetzalscale.core.error;

/** Whether the caller's request ran, as stated by an error response. */
public enum RunState {
    /** No byte of the request reached a target, or the target rejected it before running it. */
    NOT_RUN("not-run"),
    /** The request may have run; its outcome is not known. */
    UNKNOWN("unknown"),
    /** The request ran, but its response is not available. */
    RAN("ran"),
    /** The error does not concern a request to a target. */
    NONE("none");

    private final String code;

    RunState(String code) {
        this.code = code;
    }

    /** The form used in error responses and in the header {@code Quetzalscale-Run}. */
    public String code() {
        return code;
    }
}
