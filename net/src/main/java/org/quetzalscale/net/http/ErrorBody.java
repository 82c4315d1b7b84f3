package org.quetzalscale.net.http;

import org.quetzalscale.core.error.QuetzalscaleException;

/** The JSON body of every error answer. */
public record ErrorBody(Detail error) {
    /**
     * What went wrong.
     *
     * @param code the error kind's code
     * @param field path of the field at fault, or null
     * @param run whether the caller's work ran: not-run, unknown, ran or none
     */
    public record Detail(String code, String message, String field, String run, String requestId) {}

    /** The body for an exception. */
    public static ErrorBody of(QuetzalscaleException e, String requestId) {
        return new ErrorBody(
                new Detail(
                        e.kind().code(),
                        e.getMessage(),
                        e.field().orElse(null),
                        e.kind().runState().code(),
                        requestId));
    }
}
