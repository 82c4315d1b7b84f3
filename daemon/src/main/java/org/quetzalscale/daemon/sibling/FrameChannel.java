package org.quetzalscale.daemon.sibling;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalscale.net.frame.FrameCodec;
import org.tinylog.Logger;

/**
 * Frames on one connection. It is closed when nothing arrives for 2 s, and when a frame is
 * malformed, too long or not permitted at its place.
 */
final class FrameChannel extends SimpleChannelInboundHandler<ByteBuf> {
    static final long DEAD_MILLIS = 2_000;

    private final Channel channel;
    private final Consumer<SiblingFrame> receiver;

    private FrameChannel(Channel channel, Consumer<SiblingFrame> receiver) {
        this.channel = channel;
        this.receiver = receiver;
    }

    static FrameChannel install(Channel channel, Consumer<SiblingFrame> receiver) {
        FrameChannel frames = new FrameChannel(channel, receiver);
        channel.pipeline().addLast(new ReadTimeoutHandler(DEAD_MILLIS, TimeUnit.MILLISECONDS));
        FrameCodec.install(channel.pipeline());
        channel.pipeline().addLast(frames);
        return frames;
    }

    /** Sends a frame, unless the other side takes nothing; what it misses it asks for later. */
    void send(SiblingFrame frame) {
        if (channel.isActive() && channel.isWritable()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(SiblingFrameEncoder.encode(frame)));
        }
    }

    /** Sends a frame of a reply that is useless without all its frames. */
    void sendAlways(SiblingFrame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(SiblingFrameEncoder.encode(frame)));
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
        receiver.accept(SiblingFrameDecoder.decode(ByteBufUtil.getBytes(message)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.info("connection to {} closed: {}", channel.remoteAddress(), cause.toString());
        context.close();
    }
}
