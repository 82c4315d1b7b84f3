package org.quetzalscale.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * A connection that sends and receives the frames of one protocol. It is closed when a frame is
 * malformed, too long or not allowed at that point of the protocol.
 *
 * @param <F> the frame type of the protocol
 */
public final class FrameConnection<F> extends SimpleChannelInboundHandler<ByteBuf> {
    private final Channel channel;
    private final Function<byte[], F> decoder;
    private final Function<F, byte[]> encoder;
    private final Consumer<F> receiver;

    private FrameConnection(
            Channel channel,
            Function<byte[], F> decoder,
            Function<F, byte[]> encoder,
            Consumer<F> receiver) {
        this.channel = channel;
        this.decoder = decoder;
        this.encoder = encoder;
        this.receiver = receiver;
    }

    /**
     * Adds the frame codec and a frame handler to a channel.
     *
     * @param receiver takes each frame, on the channel's event loop
     */
    public static <F> FrameConnection<F> install(
            Channel channel,
            Function<byte[], F> decoder,
            Function<F, byte[]> encoder,
            Consumer<F> receiver) {
        FrameConnection<F> connection = new FrameConnection<>(channel, decoder, encoder, receiver);
        FrameCodec.install(channel.pipeline());
        channel.pipeline().addLast(connection);
        return connection;
    }

    /** Sends a frame. */
    public void send(F frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoder.apply(frame)));
    }

    /** Sends a frame, or drops it if the channel is closed or its write buffer is full. */
    public void sendIfWritable(F frame) {
        if (channel.isActive() && channel.isWritable()) {
            send(frame);
        }
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
        receiver.accept(decoder.apply(ByteBufUtil.getBytes(message)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.info(
                "event=connection_closed peer={} cause=\"{}\"",
                channel.remoteAddress(),
                cause.toString());
        context.close();
    }
}
