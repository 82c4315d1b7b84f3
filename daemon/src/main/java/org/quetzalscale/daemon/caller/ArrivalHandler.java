package org.quetzalscale.daemon.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports incoming bytes before they are decoded, so that slow request heads time out. */
final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final Runnable onBytes;

    ArrivalHandler(Runnable onBytes) {
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        onBytes.run();
        context.fireChannelRead(message);
    }
}
