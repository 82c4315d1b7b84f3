package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.daemon.target.BatchWriter;
import org.quetzalscale.daemon.target.ReadLoop;
import org.quetzalscale.net.http.HttpReply;
import org.tinylog.Logger;

/**
 * A caller's connection. It serves one request at a time, so pipelined requests are answered in
 * order, and reads no further than the head of the next one.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    // After an answer that ends the connection, input is read and dropped for this long: closing
    // with unread input would reset the connection and could destroy the answer on its way.
    private static final int LINGER_MILLIS = 1_000;
    private static final int MAX_LINGER_BYTES = 1 << 20;

    private static final String TEAM_CALLS = "/v1/";

    private enum State {
        WAITING,
        SERVING,
        SKIPPING_BODY,
        LINGERING,
        CLOSED
    }

    private final CallerContext shared;
    private final RequestParser parser;
    private final CallerRequestDecoder decoder;
    private final CallerResponseEncoder encoder;
    private final boolean surplus;
    private ChannelHandlerContext context;
    private ReadLoop reads;
    private BatchWriter writer;
    private State state = State.WAITING;
    private CallerTask task;
    private HttpRequest next;
    private ScheduledFuture<?> timer;
    private boolean headArriving;
    private boolean bodyExpected;
    private boolean bodyEnded;
    private boolean continueExpected;
    private boolean closeAfterAnswer;
    private boolean answerBegun;
    private boolean blocked;
    private int lingerBytes;

    CallerConnection(
            CallerContext shared,
            CallerRequestDecoder decoder,
            CallerResponseEncoder encoder,
            boolean surplus) {
        this.shared = shared;
        this.parser = new RequestParser(shared.config(), shared.time());
        this.decoder = decoder;
        this.encoder = encoder;
        this.surplus = surplus;
    }

    /** Asks for the next part of the request's body; what follows the body is not its own. */
    void readBody() {
        if (bodyEnded) {
            return;
        }
        if (continueExpected) {
            continueExpected = false;
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        reads.read();
    }

    ByteBufAllocator allocator() {
        return context.alloc();
    }

    /** Whether the whole body of the request has arrived. */
    boolean isBodyEnded() {
        return bodyEnded;
    }

    /** Whether more bytes of the answer may be written without exceeding the write buffer. */
    boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Sends the head of the answer. */
    void writeHead(HttpResponse head) {
        beginAnswer(head);
        writer.write(head);
    }

    private void beginAnswer(HttpResponse head) {
        answerBegun = true;
        closeAfterAnswer |= shared.draining().getAsBoolean() || (bodyExpected && !bodyEnded);
        if (closeAfterAnswer) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Sends a part of the answer's body; takes the content over. The last part ends the answer. */
    void write(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (last) {
            writeLast(content);
            endAnswer();
        } else {
            writer.write(content);
        }
    }

    /** Answers with an error, or cuts the answer if it has begun. */
    void answerError(QuetzalscaleException error, String requestId) {
        if (state == State.CLOSED) {
            return;
        }
        if (answerBegun) {
            cut();
            return;
        }
        if (error.kind() == ErrorKind.INTERNAL) {
            Logger.error(error, "request {} failed", requestId);
        }
        answer(HttpReply.error(error, requestId), requestId);
    }

    /** Answers with a small body. */
    void answer(HttpReply reply, String requestId) {
        if (state == State.CLOSED) {
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                .set(EndToEndHeaders.REQUEST_ID, requestId);
        HttpUtil.setContentLength(response, reply.body().length);
        beginAnswer(response);
        writeLast(response);
        endAnswer();
    }

    /** Ends the connection within the answer, so that the caller sees that it is not whole. */
    void cut() {
        // Without its head, the caller could take the request for one that was never answered.
        context.flush();
        close();
    }

    /** Bytes arrived that are not decoded yet. */
    void bytesArrived() {
        if (state == State.WAITING && !headArriving) {
            headArriving = true;
            startTimer(shared.limits().headMillis());
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        reads = new ReadLoop(added);
        writer = new BatchWriter(added);
    }

    @Override
    public void channelActive(ChannelHandlerContext ignored) {
        if (surplus) {
            closeAfterAnswer = true;
            state = State.SERVING;
            answerError(
                    new QuetzalscaleException(
                            ErrorKind.QUEUE_FULL,
                            "this instance has as many connections as permitted"),
                    RequestParser.newRequestId());
            return;
        }
        startTimer(shared.limits().idleMillis());
        reads.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        reads.received();
        switch (state) {
            case WAITING, SERVING -> receive(message);
            case SKIPPING_BODY -> skip(message);
            case LINGERING -> drop(message);
            default -> ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        reads.readComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (!isWritable()) {
            return;
        }
        if (blocked) {
            blocked = false;
            proceed();
        } else if (task != null) {
            task.callerWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        if (event == DrainEvent.CLOSE_IF_IDLE && state == State.WAITING && !headArriving) {
            close();
        }
    }

    private void receive(Object message) {
        if (message instanceof HttpRequest request) {
            next = request;
            proceed();
            return;
        }
        HttpContent content = (HttpContent) message;
        if (state != State.SERVING || task == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            closeAfterAnswer = true;
            task.bodyMalformed(content.decoderResult().cause().getMessage());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        bodyEnded = last;
        task.body(content);
        // The task may have read further parts by now, so that the field tells of another part.
        if (last && (state == State.SERVING || state == State.WAITING)) {
            // Notices that the caller leaves; a pipelined request is held until its turn.
            reads.read();
        }
    }

    private void serve(HttpRequest request) {
        stopTimer();
        state = State.SERVING;
        answerBegun = false;
        bodyEnded = false;
        bodyExpected =
                HttpUtil.isTransferEncodingChunked(request)
                        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        continueExpected = HttpUtil.is100ContinueExpected(request);
        closeAfterAnswer = !HttpUtil.isKeepAlive(request) || request.decoderResult().isFailure();
        encoder.expect(request.method().equals(HttpMethod.HEAD));
        String requestId = RequestParser.requestId(request);
        try {
            task = taskOf(request, requestId);
        } catch (RuntimeException e) {
            refuse(QuetzalscaleException.from(e), requestId);
            return;
        }
        task.start();
    }

    /** Counts the request as running until the socket took its whole answer. */
    private void writeLast(Object message) {
        shared.running().incrementAndGet();
        writer.write(message).addListener(written -> shared.running().decrementAndGet());
    }

    private CallerTask taskOf(HttpRequest request, String requestId) {
        EventLoop loop = context.channel().eventLoop();
        if (shared.teamHandler() != null && request.uri().startsWith(TEAM_CALLS)) {
            VerifiedKey key = parser.parseTeamCall(request);
            return new TeamCall(shared, this, request, requestId, key, loop);
        }
        return new Exchange(shared, this, parser.parse(request, requestId), loop);
    }

    private void refuse(QuetzalscaleException error, String requestId) {
        closeAfterAnswer |= error.kind() == ErrorKind.MALFORMED_REQUEST;
        shared.observer()
                .ended(
                        new RequestRecord(
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of(error.kind()),
                                error.kind().httpStatus(),
                                false,
                                0,
                                0));
        answerError(error, requestId);
    }

    private void endAnswer() {
        task = null;
        if (state != State.SERVING) {
            return;
        }
        if (closeAfterAnswer || (bodyExpected && !bodyEnded)) {
            linger();
        } else if (!bodyEnded) {
            state = State.SKIPPING_BODY;
            reads.read();
        } else {
            awaitNext();
        }
    }

    private void skip(Object message) {
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
            bodyEnded = true;
            awaitNext();
            reads.read();
        }
    }

    private void awaitNext() {
        state = State.WAITING;
        headArriving = next != null || decoder.hasRest();
        startTimer(headArriving ? shared.limits().headMillis() : shared.limits().idleMillis());
        if (next != null) {
            // A new turn of the event loop keeps the stack flat for many pipelined requests.
            context.executor().execute(this::proceed);
        }
    }

    private void proceed() {
        if (state != State.WAITING || next == null) {
            return;
        }
        if (!isWritable()) {
            blocked = true;
            return;
        }
        HttpRequest request = next;
        next = null;
        serve(request);
    }

    private void linger() {
        state = State.LINGERING;
        startTimer(shared.limits().idleMillis());
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        written -> {
                            if (state == State.LINGERING) {
                                ((DuplexChannel) context.channel()).shutdownOutput();
                                startTimer(LINGER_MILLIS);
                                reads.read();
                            }
                        });
    }

    private void drop(Object message) {
        lingerBytes +=
                message instanceof HttpContent content ? content.content().readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (lingerBytes > MAX_LINGER_BYTES) {
            close();
        } else {
            reads.read();
        }
    }

    private void startTimer(int millis) {
        stopTimer();
        timer = context.executor().schedule(this::timeOut, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void timeOut() {
        if (state == State.WAITING && headArriving && next == null) {
            state = State.SERVING;
            answerBegun = false;
            closeAfterAnswer = true;
            refuse(
                    new QuetzalscaleException(
                            ErrorKind.REQUEST_TIMEOUT, "the head of the request came too slowly"),
                    RequestParser.newRequestId());
            return;
        }
        close();
    }

    private void close() {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        stopTimer();
        next = null;
        context.close();
        CallerTask left = task;
        task = null;
        if (left != null) {
            left.callerGone();
        }
    }
}
