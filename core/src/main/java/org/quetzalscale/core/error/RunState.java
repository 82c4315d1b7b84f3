package org.quetzalscale.core.error;

/** What a refusal says about whether the caller's work ran. */
public enum RunState {
    /** No byte of the work reached a target, or the target refused it before running it. */
    NOT_RUN("not-run"),
    /** The work may have run; its outcome was not seen. */
    UNKNOWN("unknown"),
    /** The work ran, but its answer can't be given. */
    RAN("ran"),
    /** The error does not concern a caller's work. */
    NONE("none");

    private final String code;

    RunState(String code) {
        this.code = code;
    }

    /** The form used in answers and in the header {@code Quetzalscale-Run}. */
    public String code() {
        return code;
    }
}
