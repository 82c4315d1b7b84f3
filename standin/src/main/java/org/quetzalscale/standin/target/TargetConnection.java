package org.quetzalscale.standin.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Serves the requests of one connection one after the other, with streamed bodies. */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String TEAM_HEADER = "X-Team";
    static final String TARGET_HEADER = "X-Target";

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final TargetState state;
    private final Queue<HttpObject> waiting = new ArrayDeque<>();
    private Exchange exchange;
    private boolean serving;
    private boolean silent;

    TargetConnection(TargetState state) {
        this.state = state;
    }

    /** Stops reading and writing, with the connection open; must run on its event loop. */
    void goSilent() {
        silent = true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        waiting.add((HttpObject) message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        serve(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!context.channel().isWritable()) {
            return;
        }
        // Deferred, because a flush in writeBody may call this before writeBody returns.
        context.executor().execute(() -> resume(context));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (exchange != null && !exchange.received()) {
            end(false);
        } else if (exchange != null && exchange.answering()) {
            end(false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void resume(ChannelHandlerContext context) {
        if (exchange != null && exchange.answering()) {
            writeBody(context);
        } else {
            serve(context);
        }
    }

    private void serve(ChannelHandlerContext context) {
        if (serving) {
            return;
        }
        serving = true;
        try {
            acceptWaiting(context);
        } finally {
            serving = false;
        }
    }

    private void acceptWaiting(ChannelHandlerContext context) {
        while (!waiting.isEmpty()) {
            boolean isNext = waiting.peek() instanceof HttpRequest && exchange != null;
            boolean isBlocked =
                    exchange != null && exchange.echoes() && !context.channel().isWritable();
            if (silent || isNext || isBlocked) {
                return;
            }
            HttpObject message = waiting.poll();
            try {
                accept(context, message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        if (!silent) {
            context.read();
        }
    }

    private void accept(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            context.close();
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(context, request);
        }
        if (message instanceof HttpContent content && exchange != null) {
            if (exchange.echoes() && content.content().isReadable()) {
                send(context, new DefaultHttpContent(content.content().retain()));
            }
            if (content instanceof LastHttpContent) {
                receivedAll(context);
            }
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        RequestPlan plan = RequestPlan.of(request);
        String requestId = request.headers().get(REQUEST_ID_HEADER, "");
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        if (!state.takeSlot()) {
            state.log().refuse();
            exchange = new Exchange(plan, requestId, keepAlive, true, Exchange.NOT_LOGGED);
            return;
        }
        int position =
                state.log()
                        .start(
                                new Execution(
                                        requestId,
                                        request.headers().get(TEAM_HEADER, ""),
                                        request.method().name(),
                                        plan.path(),
                                        System.currentTimeMillis(),
                                        0,
                                        false,
                                        false));
        exchange = new Exchange(plan, requestId, keepAlive, false, position);
        if (HttpUtil.is100ContinueExpected(request)) {
            send(
                    context,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        if (exchange.echoes()) {
            HttpResponse head = head(plan);
            HttpUtil.setTransferEncodingChunked(head, true);
            send(context, head);
        }
    }

    private void receivedAll(ChannelHandlerContext context) {
        exchange.markReceived();
        if (exchange.refused()) {
            HttpResponse refusal =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            Unpooled.EMPTY_BUFFER);
            refusal.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
            setCommonHeaders(refusal);
            HttpUtil.setContentLength(refusal, 0);
            send(context, refusal);
            finish(context);
            return;
        }
        state.log().received(exchange.logPosition());
        long serviceMillis = exchange.plan().serviceMillis() + state.behavior().extraMillis();
        if (serviceMillis == 0) {
            answer(context);
            return;
        }
        context.executor().schedule(() -> answer(context), serviceMillis, TimeUnit.MILLISECONDS);
    }

    private void answer(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            end(false);
            return;
        }
        if (exchange.echoes()) {
            if (state.behavior().closeInBody()) {
                end(false);
                context.close();
                return;
            }
            send(context, LastHttpContent.EMPTY_LAST_CONTENT);
            finish(context);
            return;
        }
        RequestPlan plan = exchange.plan();
        HttpResponse head = head(plan);
        if (plan.chunked()) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, plan.sizeBytes());
        }
        send(context, head);
        exchange.startAnswer(plan.sizeBytes());
        writeBody(context);
    }

    /** Writes lines of the request id, so that a caller can tell its own answer from others. */
    private void writeBody(ChannelHandlerContext context) {
        byte[] line = (exchange.requestId() + "\n").getBytes(StandardCharsets.UTF_8);
        long stopAtBytes = state.behavior().closeInBody() ? exchange.plan().sizeBytes() / 2 : 0;
        while (exchange.remainingBytes() > stopAtBytes && context.channel().isWritable()) {
            int bytes = (int) Math.min(CHUNK_BYTES, exchange.remainingBytes() - stopAtBytes);
            long offset = exchange.plan().sizeBytes() - exchange.remainingBytes();
            byte[] chunk = new byte[bytes];
            for (int i = 0; i < bytes; i++) {
                chunk[i] = line[(int) ((offset + i) % line.length)];
            }
            exchange.wrote(bytes);
            send(context, new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)));
        }
        if (exchange.remainingBytes() > stopAtBytes) {
            return;
        }
        if (state.behavior().closeInBody()) {
            end(false);
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        send(context, LastHttpContent.EMPTY_LAST_CONTENT);
        finish(context);
    }

    private void finish(ChannelHandlerContext context) {
        boolean close = !exchange.keepAlive();
        end(!silent);
        if (close && !silent) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        serve(context);
    }

    private void end(boolean answered) {
        if (!exchange.refused()) {
            state.log().end(exchange.logPosition(), answered);
            state.freeSlot();
        }
        exchange = null;
    }

    private HttpResponse head(RequestPlan plan) {
        HttpResponseStatus status =
                state.behavior().failAll()
                        ? HttpResponseStatus.INTERNAL_SERVER_ERROR
                        : HttpResponseStatus.valueOf(plan.status());
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        setCommonHeaders(head);
        return head;
    }

    private void setCommonHeaders(HttpResponse response) {
        response.headers().set(TARGET_HEADER, state.name());
        if (!exchange.requestId().isEmpty()) {
            response.headers().set(REQUEST_ID_HEADER, exchange.requestId());
        }
        if (state.behavior().shuttingDown()) {
            exchange.closeAfterAnswer();
        }
        HttpUtil.setKeepAlive(response, exchange.keepAlive());
    }

    private void send(ChannelHandlerContext context, Object message) {
        if (silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.writeAndFlush(message);
    }
}
