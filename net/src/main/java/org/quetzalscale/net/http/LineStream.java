package org.quetzalscale.net.http;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A client's handle of a stream of lines. */
public final class LineStream {
    private final CompletableFuture<Void> ended;
    private Channel channel;
    private boolean closed;

    LineStream(CompletableFuture<Void> ended) {
        this.ended = ended;
    }

    /** Completes when the stream ends; fails if it breaks or the server responds with an error. */
    public CompletionStage<Void> ended() {
        return ended;
    }

    /** Closes the connection. */
    public synchronized void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    synchronized void attach(Channel opened) {
        channel = opened;
        if (closed) {
            channel.close();
        }
    }
}
