package org.quetzalscale.net.frame;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Installs the framing between instances: a length of 4 bytes, big-endian, then the frame. */
public final class FrameCodec {
    /** Largest frame without its length, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    /** Adds the decoder and the encoder; handlers after them see one buffer a frame. */
    public static void install(ChannelPipeline pipeline) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }
}
