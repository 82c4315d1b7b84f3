package org.quetzalscale.net.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Serves the requests of one connection, one at a time and in order. */
final class HttpServerConnection extends ChannelDuplexHandler {
    /**
     * Time for the last response to reach the client, on a link whose queue takes half a second.
     */
    private static final int CLOSE_DELAY_MILLIS = 500;

    private final HttpHandler handler;
    private final BooleanSupplier receiving;
    private final BooleanSupplier draining;
    private final Queue<FullHttpRequest> pendingRequests = new ArrayDeque<>();
    private boolean busy;
    private boolean clientKeepsAlive;

    /**
     * Creates the handler of one connection.
     *
     * @param receiving whether a part of a request has been read, but not all of it
     * @param draining whether the connection is closed after the responses to the requests that
     *     have been read
     */
    HttpServerConnection(HttpHandler handler, BooleanSupplier receiving, BooleanSupplier draining) {
        this.handler = handler;
        this.receiving = receiving;
        this.draining = draining;
    }

    /** Whether no request is being received, waiting or in progress. */
    boolean isIdle() {
        return !busy && pendingRequests.isEmpty() && !receiving.getAsBoolean();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        pendingRequests.add((FullHttpRequest) message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        serveNext(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pendingRequests.forEach(FullHttpRequest::release);
        pendingRequests.clear();
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void serveNext(ChannelHandlerContext context) {
        if (busy) {
            return;
        }
        FullHttpRequest request = pendingRequests.poll();
        if (request == null) {
            context.read();
            return;
        }
        busy = true;
        clientKeepsAlive = HttpUtil.isKeepAlive(request);
        CompletionStage<HttpReply> reply;
        try {
            reply = handle(request);
        } finally {
            request.release();
        }
        reply.whenComplete(
                (value, failure) ->
                        context.executor()
                                .execute(
                                        () -> {
                                            HttpReply sent =
                                                    failure == null ? value : errorReply(failure);
                                            write(context, sent);
                                        }));
    }

    /**
     * Whether to close the connection after the next response. Requests that have been read, even
     * in part, get their responses first, because the client cannot know whether an unanswered one
     * has run.
     */
    private boolean closesNext() {
        return draining.getAsBoolean() && pendingRequests.isEmpty() && !receiving.getAsBoolean();
    }

    private CompletionStage<HttpReply> handle(FullHttpRequest request) {
        try {
            if (request.decoderResult().isFailure()) {
                throw new QuetzalscaleException(
                        ErrorKind.MALFORMED_REQUEST,
                        "request cannot be decoded: " + request.decoderResult().cause());
            }
            return handler.handle(toCall(request));
        } catch (RuntimeException e) {
            return java.util.concurrent.CompletableFuture.failedFuture(e);
        }
    }

    private static HttpReply errorReply(Throwable failure) {
        return HttpReply.error(QuetzalscaleException.from(failure), "");
    }

    private static HttpCall toCall(FullHttpRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        h ->
                                headers.putIfAbsent(
                                        h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
        return new HttpCall(
                request.method(),
                decoder.path(),
                decoder.parameters(),
                headers,
                ByteBufUtil.getBytes(request.content()));
    }

    private void write(ChannelHandlerContext context, HttpReply reply) {
        if (reply.stream() != null) {
            startStream(context, reply);
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        setHeaders(response, reply);
        HttpUtil.setContentLength(response, reply.body().length);
        boolean keepAlive = clientKeepsAlive && !closesNext();
        HttpUtil.setKeepAlive(response, keepAlive);
        var written = context.writeAndFlush(response);
        if (keepAlive) {
            busy = false;
            serveNext(context);
        } else if (clientKeepsAlive) {
            written.addListener(ignored -> endOutput(context));
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Ends the output, and closes the connection after a delay. The client may have sent another
     * request, and closing a socket with unread bytes resets the connection, which discards what
     * has not been delivered yet. Further requests stay unread, so that none is taken without a
     * response.
     */
    private static void endOutput(ChannelHandlerContext context) {
        ((DuplexChannel) context.channel()).shutdownOutput();
        context.executor()
                .schedule(() -> context.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void startStream(ChannelHandlerContext context, HttpReply reply) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()));
        setHeaders(head, reply);
        HttpUtil.setTransferEncodingChunked(head, true);
        // The client of a stream sends nothing more, so the read timeout must not close it.
        context.pipeline().remove(io.netty.handler.timeout.ReadTimeoutHandler.class);
        context.writeAndFlush(head);
        context.read();
        reply.stream().accept(new ChannelLineSink(context.channel()));
    }

    private static void setHeaders(HttpResponse response, HttpReply reply) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
    }
}
