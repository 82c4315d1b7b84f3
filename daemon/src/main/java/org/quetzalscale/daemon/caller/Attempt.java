package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.daemon.target.AnswerListener;
import org.quetzalscale.daemon.target.TargetConnection;

/** One attempt to run a request at one target, from its first byte to the end of the answer. */
final class Attempt implements AnswerListener {
    // Requests with these methods carry Content-Length even if the body is empty; others omit it.
    private static final Set<HttpMethod> METHODS_WITH_BODY =
            Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private final CallerRequest request;
    private final TargetConnection target;
    private final EventLoop loop;
    private final AttemptListener listener;
    private final Runnable requestBody;
    private ScheduledFuture<?> headTimer;
    private boolean streaming;
    private boolean ended;

    /**
     * Creates an attempt; nothing is sent before {@link #start}.
     *
     * @param requestBody reads the next part of a streamed body from the caller
     */
    Attempt(
            CallerRequest request,
            TargetConnection target,
            EventLoop loop,
            AttemptListener listener,
            Runnable requestBody) {
        this.request = request;
        this.target = target;
        this.loop = loop;
        this.listener = listener;
        this.requestBody = requestBody;
    }

    /**
     * Sends the head and the buffered part of the body. Bytes may reach the target from now on.
     *
     * @param body the complete body, or its first part
     * @param complete whether the body is complete; if not, the rest is streamed
     * @param headMillis time limit for the head of the answer, in milliseconds
     */
    void start(ByteBuf body, boolean complete, long headMillis) {
        streaming = !complete;
        headTimer =
                loop.schedule(
                        () -> fail("no answer within " + headMillis + " ms"),
                        headMillis,
                        TimeUnit.MILLISECONDS);
        target.send(head(body, complete), this);
        target.send(complete ? new DefaultLastHttpContent(body) : new DefaultHttpContent(body));
        if (!ended) {
            target.read();
        }
        if (streaming && !ended && target.isWritable()) {
            requestBody.run();
        }
    }

    /** Sends a part of a streamed body and takes ownership of it. */
    void sendBody(HttpContent part) {
        if (ended) {
            part.release();
            return;
        }
        if (part instanceof LastHttpContent) {
            streaming = false;
            // Drops trailers, which could contain headers that callers may not set.
            target.send(new DefaultLastHttpContent(part.content()));
            return;
        }
        target.send(part);
        if (!ended && target.isWritable()) {
            requestBody.run();
        }
    }

    /** Requests the next part of the answer from the target. */
    void readAnswer() {
        if (!ended) {
            target.read();
        }
    }

    /**
     * Ends the attempt and closes the connection, because a late answer could still arrive on it.
     */
    void abandon() {
        if (!ended) {
            end();
            target.close();
        }
    }

    @Override
    public void head(HttpResponse head) {
        headTimer.cancel(false);
        if (isCapacityRefusal(head)) {
            end();
            target.close();
            listener.refused();
            return;
        }
        if (listener.answered(head)) {
            readAnswer();
        } else {
            abandon();
        }
    }

    @Override
    public void content(HttpContent content) {
        if (content instanceof LastHttpContent) {
            end();
            target.release();
        }
        listener.answerPart(content);
    }

    @Override
    public void broken(String reason) {
        if (!ended) {
            end();
            listener.broken(reason);
        }
    }

    @Override
    public void writable() {
        if (streaming && !ended) {
            requestBody.run();
        }
    }

    /** A target at capacity answers 503 with Retry-After before it runs anything. */
    private static boolean isCapacityRefusal(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && head.headers().contains(HttpHeaderNames.RETRY_AFTER);
    }

    private HttpRequest head(ByteBuf body, boolean complete) {
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.targetUri());
        HttpHeaders headers = head.headers().set(request.headers());
        headers.set(EndToEndHeaders.REQUEST_ID, request.id());
        request.team().ifPresent(team -> headers.set(EndToEndHeaders.TEAM, team.value()));
        if (complete) {
            if (body.isReadable() || METHODS_WITH_BODY.contains(request.method())) {
                HttpUtil.setContentLength(head, body.readableBytes());
            }
        } else if (request.contentLength() < 0) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, request.contentLength());
        }
        return head;
    }

    private void fail(String reason) {
        if (!ended) {
            end();
            target.close();
            listener.broken(reason);
        }
    }

    private void end() {
        ended = true;
        headTimer.cancel(false);
    }
}
