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

/** One sending of a request to one target, from its first byte to the end of the answer. */
final class Attempt implements AnswerListener {
    // Their requests declare a length also when the body is empty; others then declare none.
    private static final Set<HttpMethod> METHODS_WITH_BODY =
            Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private final CallerRequest request;
    private final TargetConnection target;
    private final EventLoop loop;
    private final AttemptListener listener;
    private final Runnable moreBody;
    private ScheduledFuture<?> headTimer;
    private boolean streaming;
    private boolean over;

    /**
     * Creates an attempt that has sent nothing.
     *
     * @param moreBody asks for the next part of a body that is streamed
     */
    Attempt(
            CallerRequest request,
            TargetConnection target,
            EventLoop loop,
            AttemptListener listener,
            Runnable moreBody) {
        this.request = request;
        this.target = target;
        this.loop = loop;
        this.listener = listener;
        this.moreBody = moreBody;
    }

    /**
     * Sends the head and what is known of the body. Bytes may reach the target from now on.
     *
     * @param body the body, or its start
     * @param whole whether the body is whole; otherwise its rest is streamed
     * @param headMillis time limit for the head of the answer
     */
    void start(ByteBuf body, boolean whole, long headMillis) {
        streaming = !whole;
        headTimer =
                loop.schedule(
                        () -> fail("no answer within " + headMillis + " ms"),
                        headMillis,
                        TimeUnit.MILLISECONDS);
        target.send(head(body, whole), this);
        target.send(whole ? new DefaultLastHttpContent(body) : new DefaultHttpContent(body));
        if (!over) {
            target.read();
        }
        if (streaming && !over && target.isWritable()) {
            moreBody.run();
        }
    }

    /** Sends a part of a streamed body; takes it over. */
    void sendBody(HttpContent part) {
        if (over) {
            part.release();
            return;
        }
        if (part instanceof LastHttpContent) {
            streaming = false;
            // Trailers could hold headers that a caller may not set.
            target.send(new DefaultLastHttpContent(part.content()));
            return;
        }
        target.send(part);
        if (!over && target.isWritable()) {
            moreBody.run();
        }
    }

    /** Asks for the next part of the answer. */
    void readAnswer() {
        if (!over) {
            target.read();
        }
    }

    /** Ends the attempt and closes the connection, on which a late answer could still come. */
    void abandon() {
        if (!over) {
            end();
            target.close();
        }
    }

    @Override
    public void head(HttpResponse head) {
        headTimer.cancel(false);
        if (isRefusal(head)) {
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
        if (!over) {
            end();
            listener.broken(reason);
        }
    }

    @Override
    public void writable() {
        if (streaming && !over) {
            moreBody.run();
        }
    }

    /** A target at capacity answers 503 with Retry-After before it runs anything. */
    private static boolean isRefusal(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && head.headers().contains(HttpHeaderNames.RETRY_AFTER);
    }

    private HttpRequest head(ByteBuf body, boolean whole) {
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.targetUri());
        HttpHeaders headers = head.headers().set(request.headers());
        headers.set(EndToEndHeaders.REQUEST_ID, request.id());
        request.team().ifPresent(team -> headers.set(EndToEndHeaders.TEAM, team.value()));
        if (whole) {
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
        if (!over) {
            end();
            target.close();
            listener.broken(reason);
        }
    }

    private void end() {
        over = true;
        headTimer.cancel(false);
    }
}
