package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers; the answer to a HEAD request has a length but no body. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean answersHead;

    void expect(boolean head) {
        answersHead = head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answersHead || super.isContentAlwaysEmpty(response);
    }
}
