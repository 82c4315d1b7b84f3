package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;

/**
 * Writes messages and flushes them once at the end of the event loop's turn. A flush for each of a
 * body's parts would cost one system call for each, also for parts of one byte.
 */
public final class BatchWriter {
    private final ChannelHandlerContext context;
    private boolean flushPending;

    /** A writer for the handler of this context. */
    public BatchWriter(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Writes the message, which is taken over. */
    public ChannelFuture write(Object message) {
        ChannelFuture written = context.write(message);
        if (!context.channel().isWritable()) {
            context.flush();
        } else if (!flushPending) {
            flushPending = true;
            context.executor().execute(this::flush);
        }
        return written;
    }

    private void flush() {
        flushPending = false;
        context.flush();
    }
}
