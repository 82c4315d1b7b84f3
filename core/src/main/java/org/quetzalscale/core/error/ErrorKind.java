package org.quetzalscale.core.error;

import java.util.Locale;

/** The closed list of errors, each with its answer: HTTP status, run state and retry advice. */
public enum ErrorKind {
    /** The request breaks the protocol or lacks a required part. */
    MALFORMED_REQUEST(400, RunState.NOT_RUN, false),
    /** A frame between instances can not be decoded. */
    MALFORMED_FRAME(400, RunState.NONE, false),
    /** A field has a value out of its range. */
    INVALID_FIELD(422, RunState.NOT_RUN, false),
    /** A setting has a value out of its range. */
    INVALID_SETTING(500, RunState.NONE, false),
    /** The operator token is missing or wrong. */
    OPERATOR_UNAUTHORIZED(401, RunState.NONE, false),
    /** The queue requires a key and the request has none. */
    KEY_MISSING(401, RunState.NOT_RUN, false),
    /** No such key was given to a team. */
    KEY_UNKNOWN(401, RunState.NOT_RUN, false),
    /** The key was withdrawn. */
    KEY_WITHDRAWN(401, RunState.NOT_RUN, false),
    /** No queue has this name. */
    QUEUE_UNKNOWN(404, RunState.NOT_RUN, false),
    /** No job of the team has this identifier. */
    JOB_UNKNOWN(404, RunState.NONE, false),
    /** No resource has this kind and name. */
    RESOURCE_UNKNOWN(404, RunState.NONE, false),
    /** The path does not take this method. */
    METHOD_NOT_ALLOWED(405, RunState.NOT_RUN, false),
    /** The caller sent its request too slowly. */
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, true),
    /** A resource of this kind and name exists. */
    RESOURCE_EXISTS(409, RunState.NONE, false),
    /** The resource changed since the version that the write names. */
    VERSION_CONFLICT(409, RunState.NONE, true),
    /** The availability budget permits no further drain. */
    BUDGET_EXHAUSTED(409, RunState.NONE, true),
    /** The operation does not apply to the present state. */
    INVALID_STATE(409, RunState.NONE, false),
    /** The watch starts at a revision that is no longer kept. */
    REVISION_TOO_OLD(410, RunState.NONE, false),
    /** The body is larger than permitted. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false),
    /** The idempotency key was used with another request. */
    IDEMPOTENCY_KEY_REUSED(422, RunState.NOT_RUN, false),
    /** The team runs as much as its upper limit permits. */
    LIMIT_REACHED(429, RunState.NOT_RUN, true),
    /** The queue holds as many waiting requests as permitted. */
    QUEUE_FULL(429, RunState.NOT_RUN, true),
    /** The request line or headers are larger than permitted. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false),
    /** A fault of the program. */
    INTERNAL(500, RunState.UNKNOWN, false),
    /** No connection to a target could be opened. */
    TARGET_UNREACHABLE(502, RunState.NOT_RUN, true),
    /** The request may have run; the target's answer was not seen. */
    OUTCOME_UNKNOWN(502, RunState.UNKNOWN, false),
    /** The request ran, but its answer is not kept. */
    ANSWER_LOST(502, RunState.RAN, false),
    /** No worker of the pool takes work. */
    NO_WORKER_AVAILABLE(503, RunState.NOT_RUN, true),
    /** The instance can't prove that its configuration is current. */
    CONFIG_STALE(503, RunState.NOT_RUN, true),
    /** The platform's store did not take the operation. */
    STORE_UNAVAILABLE(503, RunState.NOT_RUN, true),
    /** Another instance holds the lease under which the call was made. */
    LEASE_LOST(409, RunState.NOT_RUN, false),
    /** The platform's store may have taken the operation. */
    STORE_OUTCOME_UNKNOWN(503, RunState.UNKNOWN, true),
    /** The instance is in graceful shutdown. */
    SHUTTING_DOWN(503, RunState.NOT_RUN, true),
    /** The deadline passed, or can not be met, before the work started. */
    DEADLINE_EXCEEDED(504, RunState.NOT_RUN, true);

    private final int httpStatus;
    private final RunState runState;
    private final boolean retryable;

    ErrorKind(int httpStatus, RunState runState, boolean retryable) {
        this.httpStatus = httpStatus;
        this.runState = runState;
        this.retryable = retryable;
    }

    /** The code in answers, such as {@code key_withdrawn}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The status of the HTTP answer. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Whether the caller's work ran, as far as this error tells. */
    public RunState runState() {
        return runState;
    }

    /** Whether the same operation may succeed later without a change by the caller. */
    public boolean retryable() {
        return retryable;
    }
}
