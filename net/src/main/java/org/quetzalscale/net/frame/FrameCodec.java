package org.quetzalscale.net.frame;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Installs length-prefixed framing: a 4-byte big-endian length, then the frame. */
public final class FrameCodec {
    /** Largest frame in bytes, without the length field. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    /** Adds the decoder and the encoder; later handlers get one buffer per frame. */
    public static void install(ChannelPipeline pipeline) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }
}
