package org.quetzalscale.net.http;

import org.quetzalscale.core.error.QuetzalscaleException;

/** The JSON body of every error response. */
public record ErrorBody(Detail error) {
    /**
     * Details of the error.
     *
     * @param code the error kind's code
     * @param field path of the invalid field, or null if no field is at fault
     * @param run whether the caller's request was run: not-run, unknown, ran or none
     */
    public record Detail(String code, String message, String field, String run, String requestId) {}

    /** Creates the body for an exception. */
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
