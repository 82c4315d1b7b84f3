package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers; an answer to a HEAD request has a Content-Length but no body. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean answersHeadRequest;

    void expect(boolean head) {
        answersHeadRequest = head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answersHeadRequest || super.isContentAlwaysEmpty(response);
    }
}
