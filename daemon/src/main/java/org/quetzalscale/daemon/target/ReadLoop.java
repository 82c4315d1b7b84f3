package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelHandlerContext;

/**
 * Asks a channel with a flow-control handler for messages one by one.
 *
 * <p>Netty may end a read without a message, for example when the bytes were part of one; the read
 * then has to be repeated. A second call while one is open must not ask for a second message. All
 * methods run on the channel's event loop.
 */
public final class ReadLoop {
    private final ChannelHandlerContext context;
    private boolean wanted;

    /** A loop for the handler of this context. */
    public ReadLoop(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Asks for one message, unless one is asked for already. */
    public void read() {
        if (!wanted) {
            wanted = true;
            context.read();
        }
    }

    /** To be called when a message arrives. */
    public void received() {
        wanted = false;
    }

    /** To be called when a read of the channel is complete. */
    public void readComplete() {
        if (wanted) {
            context.read();
        }
    }
}
