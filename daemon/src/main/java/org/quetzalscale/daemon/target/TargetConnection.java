package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to a target. It carries one request at a time.
 *
 * <p>All methods must be called on the connection's event loop. Data is read from the target only
 * on request, by {@link #read}.
 */
public final class TargetConnection extends ChannelInboundHandlerAdapter {
    private final TargetPool pool;
    private final TargetResponseDecoder decoder;
    private ChannelHandlerContext context;
    private ReadLoop reads;
    private BatchWriter writer;
    private AnswerListener listener;
    private ChannelFuture headWritten;
    private boolean used;
    private boolean closed;
    private boolean headRequest;
    private boolean requestEnded;
    private boolean answerEnded;
    private boolean informational;
    private boolean keepAlive;

    TargetConnection(TargetPool pool, TargetResponseDecoder decoder) {
        this.pool = pool;
        this.decoder = decoder;
    }

    /** Whether the connection carried a request before the current one. */
    public boolean isReused() {
        return used;
    }

    /** Whether a request can be sent, that is, neither side has closed the connection. */
    public boolean isUsable() {
        return !closed && context.channel().isActive();
    }

    /** Whether more bytes of the request may be written without exceeding the write buffer. */
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Sends the head of a request; bytes of it may reach the target from now on. */
    public void send(HttpRequest head, AnswerListener answer) {
        listener = answer;
        headRequest = head.method().equals(HttpMethod.HEAD);
        decoder.expect(headRequest);
        requestEnded = false;
        answerEnded = false;
        informational = false;
        keepAlive = false;
        headWritten = writer.write(head);
    }

    /** Sends a part of the request's body and takes ownership of it. */
    public void send(HttpContent content) {
        if (content instanceof LastHttpContent) {
            requestEnded = true;
        }
        writer.write(content);
    }

    /** Requests the next part of the answer. */
    public void read() {
        reads.read();
    }

    /**
     * Releases the connection after the complete answer; pools it if it can carry another request.
     */
    public void release() {
        listener = null;
        used = true;
        if (!requestEnded || !answerEnded || !keepAlive || decoder.hasBufferedBytes()) {
            close();
            return;
        }
        offer();
    }

    /** Returns the connection to the pool; nothing may have been sent on it. */
    public void releaseUnused() {
        listener = null;
        offer();
    }

    /** Closes the connection; the listener is not called any more. */
    public void close() {
        listener = null;
        closed = true;
        context.close();
    }

    private void offer() {
        // Detects an already decoded message, such as a second answer to one request, and a close
        // by
        // the target while the connection is idle.
        reads.read();
        if (isUsable()) {
            pool.offer(this);
        }
    }

    /** Closes the connection from any thread. */
    void closeFromPool() {
        context.close();
    }

    ChannelHandlerContext context() {
        return context;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        reads = new ReadLoop(added);
        writer = new BatchWriter(added);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        reads.received();
        if (listener == null || answerEnded || !headWritten.isDone()) {
            // Unsolicited bytes must not be taken for the answer to the next request.
            ReferenceCountUtil.release(message);
            fail("target sent bytes before its request");
            return;
        }
        if (message instanceof HttpResponse head) {
            receiveHead(head);
        } else if (message instanceof HttpContent content) {
            receiveContent(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void receiveHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            fail("malformed answer: " + head.decoderResult().cause().getMessage());
            return;
        }
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("target switched protocols");
            return;
        }
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            read();
            return;
        }
        if (!hasDelimitedBody(head)) {
            fail("answer has neither a length nor chunked encoding, so a cut could not be noticed");
            return;
        }
        keepAlive =
                HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (!keepAlive) {
            pool.announceClosing();
        }
        listener.head(head);
    }

    private boolean hasDelimitedBody(HttpResponse head) {
        int status = head.status().code();
        return headRequest
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private void receiveContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            fail("malformed answer body: " + content.decoderResult().cause().getMessage());
            return;
        }
        if (informational) {
            content.release();
            informational = !(content instanceof LastHttpContent);
            read();
            return;
        }
        answerEnded = content instanceof LastHttpContent;
        listener.content(content);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        reads.readComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (listener != null && context.channel().isWritable()) {
            listener.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        fail("target closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        fail("connection to the target failed: " + cause.getMessage());
    }

    private void fail(String reason) {
        AnswerListener failed = answerEnded ? null : listener;
        close();
        if (failed != null) {
            failed.broken(reason);
        }
    }
}
