package org.quetzalscale.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Creates event loops on Java's NIO selectors. */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Creates a group, which the caller shuts down.
     *
     * @param name prefix of the threads' names
     */
    public static EventLoopGroup create(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }
}
