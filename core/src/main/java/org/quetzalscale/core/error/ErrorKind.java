package org.quetzalscale.core.error;

import java.util.Locale;

/** All kinds of errors, each with its HTTP status, run state and whether a retry may succeed. */
public enum ErrorKind {
    /** The request breaks the protocol or lacks a required part. */
    MALFORMED_REQUEST(400, RunState.NOT_RUN, false),
    /** A frame between instances cannot be decoded. */
    MALFORMED_FRAME(400, RunState.NONE, false),
    /** A field has an invalid value. */
    INVALID_FIELD(422, RunState.NOT_RUN, false),
    /** A setting has an invalid value. */
    INVALID_SETTING(500, RunState.NONE, false),
    /** The operator token is missing or wrong. */
    OPERATOR_UNAUTHORIZED(401, RunState.NONE, false),
    /** The queue requires a key and the request has none. */
    KEY_MISSING(401, RunState.NOT_RUN, false),
    /** No team has this key. */
    KEY_UNKNOWN(401, RunState.NOT_RUN, false),
    /** The key is withdrawn. */
    KEY_WITHDRAWN(401, RunState.NOT_RUN, false),
    /** No queue has this name. */
    QUEUE_UNKNOWN(404, RunState.NOT_RUN, false),
    /** No job of the team has this identifier. */
    JOB_UNKNOWN(404, RunState.NONE, false),
    /** No resource has this kind and name. */
    RESOURCE_UNKNOWN(404, RunState.NONE, false),
    /** The path does not support this method. */
    METHOD_NOT_ALLOWED(405, RunState.NOT_RUN, false),
    /** The caller did not send its whole request in time. */
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, true),
    /** A resource of this kind and name exists already. */
    RESOURCE_EXISTS(409, RunState.NONE, false),
    /** The resource changed after the version that the write expects. */
    VERSION_CONFLICT(409, RunState.NONE, true),
    /** The availability budget permits no further drain. */
    BUDGET_EXHAUSTED(409, RunState.NONE, true),
    /** The operation is not valid in the current state. */
    INVALID_STATE(409, RunState.NONE, false),
    /** The job was cancelled before its submission was recorded. */
    JOB_CANCELLED(410, RunState.NOT_RUN, false),
    /** The watch starts at a revision that is no longer kept. */
    REVISION_TOO_OLD(410, RunState.NONE, false),
    /** The body is larger than permitted. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, false),
    /** The idempotency key was already used with a different request. */
    IDEMPOTENCY_KEY_REUSED(422, RunState.NOT_RUN, false),
    /** The team's usage has reached its upper limit. */
    LIMIT_REACHED(429, RunState.NOT_RUN, true),
    /** The queue has reached its limit of waiting requests. */
    QUEUE_FULL(429, RunState.NOT_RUN, true),
    /** The job is beyond the rate that its organisation declared, and its pool is full. */
    RATE_EXCEEDED(429, RunState.NOT_RUN, true),
    /** The pool has so much work that the job would end too late to be worth anything. */
    OVERLOADED(429, RunState.NOT_RUN, true),
    /** The request line or headers are larger than permitted. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, false),
    /** An internal error of the program. */
    INTERNAL(500, RunState.UNKNOWN, false),
    /** No connection to a target could be opened. */
    TARGET_UNREACHABLE(502, RunState.NOT_RUN, true),
    /** The request may have run; the target's response was not received. */
    OUTCOME_UNKNOWN(502, RunState.UNKNOWN, false),
    /** The request ran, but its response is not stored. */
    ANSWER_LOST(502, RunState.RAN, false),
    /** No worker of the pool accepts work. */
    NO_WORKER_AVAILABLE(503, RunState.NOT_RUN, true),
    /** The instance cannot prove that its configuration is current. */
    CONFIG_STALE(503, RunState.NOT_RUN, true),
    /** The platform's store did not accept the operation. */
    STORE_UNAVAILABLE(503, RunState.NOT_RUN, true),
    /** Another instance holds the lease under which the call was made. */
    LEASE_LOST(409, RunState.NOT_RUN, false),
    /** The platform's store may have accepted the operation. */
    STORE_OUTCOME_UNKNOWN(503, RunState.UNKNOWN, true),
    /** The platform's store refuses the operation for good, since it is too large or invalid. */
    STORE_REJECTED(503, RunState.NOT_RUN, false),
    /** The instance is in graceful shutdown. */
    SHUTTING_DOWN(503, RunState.NOT_RUN, true),
    /** The deadline passed, or cannot be met, before the work started. */
    DEADLINE_EXCEEDED(504, RunState.NOT_RUN, true);

    private final int httpStatus;
    private final RunState runState;
    private final boolean retryable;

    ErrorKind(int httpStatus, RunState runState, boolean retryable) {
        this.httpStatus = httpStatus;
        this.runState = runState;
        this.retryable = retryable;
    }

    /** The code in error responses, such as {@code key_withdrawn}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The status of the HTTP response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Whether the caller's request ran, as far as this error tells. */
    public RunState runState() {
        return runState;
    }

    /** Whether the same operation may succeed later without a change by the caller. */
    public boolean retryable() {
        return retryable;
    }
}
