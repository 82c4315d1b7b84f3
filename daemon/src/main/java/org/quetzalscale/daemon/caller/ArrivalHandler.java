package org.quetzalscale.daemon.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells when bytes arrive, before they are decoded, so that slow heads can be timed. */
final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final Runnable arrived;

    ArrivalHandler(Runnable arrived) {
        this.arrived = arrived;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        arrived.run();
        context.fireChannelRead(message);
    }
}
