package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;

/**
 * Writes messages and flushes them together in a later task of the event loop. A flush for each
 * part of a body would cost one system call per part, even for parts of one byte.
 */
public final class BatchWriter {
    private final ChannelHandlerContext context;
    private boolean flushPending;

    /** Creates a writer for the handler of the context. */
    public BatchWriter(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Writes the message and takes ownership of it; a full write buffer is flushed at once. */
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
