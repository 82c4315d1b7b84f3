package org.quetzalscale.net.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;

/** Sends each line as one chunk of a chunked HTTP response. */
final class ChannelLineSink implements LineSink {
    private final Channel channel;

    ChannelLineSink(Channel channel) {
        this.channel = channel;
    }

    @Override
    public void send(String line) {
        if (!channel.isActive()) {
            return;
        }
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void close() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void onClose(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }
}
