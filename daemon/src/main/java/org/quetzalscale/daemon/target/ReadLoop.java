package org.quetzalscale.daemon.target;

import io.netty.channel.ChannelHandlerContext;

/**
 * Asks a channel for messages one by one.
 *
 * <p>A flow-control handler delivers a waiting message inside the call that asks for it, and the
 * receiver asks for the next one in turn. The loop keeps the stack flat: one socket read can hold
 * thousands of one-byte chunks.
 */
public final class ReadLoop {
    private final ChannelHandlerContext context;
    private boolean reading;
    private boolean again;

    /** A loop for the handler of this context. */
    public ReadLoop(ChannelHandlerContext context) {
        this.context = context;
    }

    /** Asks for one message; must be called on the channel's event loop. */
    public void read() {
        if (reading) {
            again = true;
            return;
        }
        reading = true;
        try {
            do {
                again = false;
                context.read();
            } while (again);
        } finally {
            reading = false;
        }
    }
}
