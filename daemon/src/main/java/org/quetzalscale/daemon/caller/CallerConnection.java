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
 * A connection from a caller. It serves one request at a time, so pipelined requests are answered
 * in order, and reads nothing beyond the head of the next one.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    // After the last answer, input is read and discarded for this long: closing a socket with
    // unread input resets the connection, which could lose the answer in transit.
    private static final int LINGER_MILLIS = 1_000;
    private static final int MAX_LINGER_BYTES = 1 << 20;

    private static final String TEAM_API_PREFIX = "/v1/";

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
    private final boolean overLimit;
    private ChannelHandlerContext context;
    private ReadLoop reads;
    private BatchWriter writer;
    private State state = State.WAITING;
    private CallerTask task;
    private HttpRequest nextRequest;
    private ScheduledFuture<?> timer;
    private boolean headArriving;
    private boolean bodyExpected;
    private boolean bodyEnded;
    private boolean continueExpected;
    private boolean closeAfterAnswer;
    private boolean answerBegun;
    private boolean awaitsWritable;
    private int lingerBytes;

    CallerConnection(
            CallerContext shared,
            CallerRequestDecoder decoder,
            CallerResponseEncoder encoder,
            boolean overLimit) {
        this.shared = shared;
        this.parser = new RequestParser(shared.config(), shared.time());
        this.decoder = decoder;
        this.encoder = encoder;
        this.overLimit = overLimit;
    }

    /** Requests the next part of the request's body; does nothing after the end of the body. */
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

    /**
     * Sends a part of the answer's body and takes ownership of it; the last part ends the answer.
     */
    void write(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (last) {
            writeLast(content);
            endAnswer();
        } else {
            writer.write(content);
        }
    }

    /** Answers with an error, or closes the connection if the answer has begun. */
    void answerError(QuetzalscaleException error, String requestId) {
        if (state == State.CLOSED) {
            return;
        }
        if (answerBegun) {
            truncate();
            return;
        }
        if (error.kind() == ErrorKind.INTERNAL) {
            Logger.error(error, "request {} failed", requestId);
        }
        answer(HttpReply.error(error, requestId), requestId);
    }

    /** Sends a complete answer that is held in memory. */
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

    /** Closes the connection within the answer, so that the caller detects the truncation. */
    void truncate() {
        // Flushes the head: without it, the caller could assume that the request was never
        // answered.
        context.flush();
        close();
    }

    /** Called when bytes arrive, before they are decoded. */
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
        if (overLimit) {
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
            case SKIPPING_BODY -> skipBody(message);
            case LINGERING -> discard(message);
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
        if (awaitsWritable) {
            awaitsWritable = false;
            serveNext();
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
            nextRequest = request;
            serveNext();
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
        // Uses the local variable: the task may have read on, so bodyEnded may describe a later
        // part.
        if (last && (state == State.SERVING || state == State.WAITING)) {
            // Reads on to detect a disconnect; a pipelined request waits for its turn.
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
            task = createTask(request, requestId);
        } catch (RuntimeException e) {
            refuse(QuetzalscaleException.from(e), requestId);
            return;
        }
        task.start();
    }

    /** Counts the request as running until its whole answer is written to the socket. */
    private void writeLast(Object message) {
        shared.running().incrementAndGet();
        writer.write(message).addListener(written -> shared.running().decrementAndGet());
    }

    private CallerTask createTask(HttpRequest request, String requestId) {
        EventLoop loop = context.channel().eventLoop();
        if (shared.teamHandler() != null && request.uri().startsWith(TEAM_API_PREFIX)) {
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

    private void skipBody(Object message) {
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
            bodyEnded = true;
            awaitNext();
            reads.read();
        }
    }

    private void awaitNext() {
        state = State.WAITING;
        headArriving = nextRequest != null || decoder.hasBufferedBytes();
        startTimer(headArriving ? shared.limits().headMillis() : shared.limits().idleMillis());
        if (nextRequest != null) {
            // Runs as a new event loop task, so that many pipelined requests do not deepen the
            // stack.
            context.executor().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (state != State.WAITING || nextRequest == null) {
            return;
        }
        if (!isWritable()) {
            awaitsWritable = true;
            return;
        }
        HttpRequest request = nextRequest;
        nextRequest = null;
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

    private void discard(Object message) {
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
        timer = context.executor().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void onTimeout() {
        if (state == State.WAITING && headArriving && nextRequest == null) {
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
        nextRequest = null;
        context.close();
        CallerTask interrupted = task;
        task = null;
        if (interrupted != null) {
            interrupted.callerDisconnected();
        }
    }
}
