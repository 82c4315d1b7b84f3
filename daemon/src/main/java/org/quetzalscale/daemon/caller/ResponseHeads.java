package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.quetzalscale.core.retry.RecordedOutcome;

/** Builds the response heads that are sent to callers. */
final class ResponseHeads {
    private ResponseHeads() {}

    /** Returns the head for a target's response, with the framing of the body unchanged. */
    static HttpResponse fromTarget(HttpResponse head, String requestId) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        answer.headers()
                .set(EndToEndHeaders.ofAnswer(head.headers()))
                .set(EndToEndHeaders.REQUEST_ID, requestId);
        if (HttpUtil.isTransferEncodingChunked(head)) {
            HttpUtil.setTransferEncodingChunked(answer, true);
        } else {
            List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengths);
        }
        return answer;
    }

    /** Returns the head for the recorded outcome of an earlier request with the same key. */
    static HttpResponse fromRecord(RecordedOutcome outcome, String requestId, HttpMethod method) {
        HttpResponse answer =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(outcome.status()));
        List<String> headers = outcome.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            answer.headers().add(headers.get(i), headers.get(i + 1));
        }
        answer.headers().set(EndToEndHeaders.REQUEST_ID, requestId);
        boolean hasNoBody =
                method.equals(HttpMethod.HEAD)
                        || answer.status().equals(HttpResponseStatus.NO_CONTENT)
                        || answer.status().equals(HttpResponseStatus.NOT_MODIFIED);
        if (!hasNoBody) {
            HttpUtil.setContentLength(answer, outcome.body().length);
        }
        return answer;
    }
}
