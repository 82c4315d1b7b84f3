package org.quetzalscale.daemon.sibling;

import io.netty.channel.Channel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalscale.net.frame.FrameConnection;

/** Sets up connections of the sibling protocol; one that receives nothing for 2 s is closed. */
final class FrameChannel {
    static final long READ_TIMEOUT_MILLIS = 2_000;

    private FrameChannel() {}

    static FrameConnection<SiblingFrame> install(Channel channel, Consumer<SiblingFrame> receiver) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return FrameConnection.install(
                channel, SiblingFrameDecoder::decode, SiblingFrameEncoder::encode, receiver);
    }
}
