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

/** Makes the heads of answers that callers get. */
final class Answers {
    private Answers() {}

    /** The head for a target's answer; its body is framed as the target framed it. */
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

    /** The head for the recorded outcome of a request that ran before. */
    static HttpResponse fromRecord(RecordedOutcome outcome, String requestId, HttpMethod method) {
        HttpResponse answer =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(outcome.status()));
        List<String> headers = outcome.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            answer.headers().add(headers.get(i), headers.get(i + 1));
        }
        answer.headers().set(EndToEndHeaders.REQUEST_ID, requestId);
        boolean bodiless =
                method.equals(HttpMethod.HEAD)
                        || answer.status().equals(HttpResponseStatus.NO_CONTENT)
                        || answer.status().equals(HttpResponseStatus.NOT_MODIFIED);
        if (!bodiless) {
            HttpUtil.setContentLength(answer, outcome.body().length);
        }
        return answer;
    }
}
