package org.quetzalscale.daemon.caller;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.error.RunState;

/** Creates the errors that end a request after its head was accepted. */
final class RequestErrors {
    private RequestErrors() {}

    static QuetzalscaleException outcomeUnknown(String reason) {
        return new QuetzalscaleException(ErrorKind.OUTCOME_UNKNOWN, reason);
    }

    static QuetzalscaleException unreachable(String reason) {
        return new QuetzalscaleException(ErrorKind.TARGET_UNREACHABLE, reason);
    }

    static QuetzalscaleException refusedByTarget() {
        return new QuetzalscaleException(
                ErrorKind.NO_WORKER_AVAILABLE, "the target is full and refused the request");
    }

    static QuetzalscaleException answerLost() {
        return new QuetzalscaleException(
                ErrorKind.ANSWER_LOST, "the request ran; its answer was too large to keep");
    }

    static QuetzalscaleException bodyMalformed(String reason) {
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_REQUEST, "the body can not be decoded: " + reason);
    }

    static QuetzalscaleException bodyTooSlow() {
        return new QuetzalscaleException(
                ErrorKind.REQUEST_TIMEOUT, "the body of the request came too slowly");
    }

    static QuetzalscaleException keyedBodyTooLarge(int maxBytes) {
        return new QuetzalscaleException(
                ErrorKind.BODY_TOO_LARGE,
                "a body with an idempotency key has at most " + maxBytes + " bytes");
    }

    static QuetzalscaleException buffersFull() {
        return new QuetzalscaleException(
                ErrorKind.QUEUE_FULL, "this instance holds as many request bodies as permitted");
    }

    static QuetzalscaleException notAssignedInTime() {
        return new QuetzalscaleException(
                ErrorKind.DEADLINE_EXCEEDED,
                "the time limit passed before a worker took the request");
    }

    /** Returns the error to report if an attempt may have run: never one that means "not run". */
    static QuetzalscaleException afterPossibleRun(QuetzalscaleException error) {
        return error.kind().runState() == RunState.NOT_RUN
                ? outcomeUnknown("the request may have run: " + error.getMessage())
                : error;
    }
}
