package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelHandlerContext;

/**
 * Requests messages one by one from a channel that has a flow-control handler.
 *
 * <p>Netty may complete a read without a message, for example if only a part of one has arrived;
 * the read is then repeated. While a message is pending, a further call must not request a second
 * one. All methods must be called on the channel's event loop.
 */
public final class ReadLoop {
    private final ChannelHandlerContext context;
    private boolean pending;

    /** Creates a read loop for the handler of the context. */
    public ReadLoop(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Requests one message, unless one is already pending. */
    public void read() {
        if (!pending) {
            pending = true;
            context.read();
        }
    }

    /** The handler calls this method when a message arrives. */
    public void received() {
        pending = false;
    }

    /** The handler calls this method when a read of the channel is complete. */
    public void readComplete() {
        if (pending) {
            context.read();
        }
    }
}
