package org.quetzalscale.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens the listening sockets of all servers with the same options. */
public final class TcpListeners {
    private static final int BACKLOG = 1024;

    private TcpListeners() {}

    /**
     * Listens, and waits until the socket is bound.
     *
     * @param autoRead whether accepted connections read by themselves; otherwise each handler asks
     *     for what it can take
     * @param initialize sets up an accepted connection; runs on its event loop
     * @return the listening channel; the caller closes it
     */
    public static Channel listen(
            EventLoopGroup group,
            InetSocketAddress bindAddress,
            boolean autoRead,
            Consumer<SocketChannel> initialize) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, autoRead)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initialize.accept(channel);
                            }
                        })
                .bind(bindAddress)
                .syncUninterruptibly()
                .channel();
    }

    /** The port that a listening channel is bound to. */
    public static int port(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }
}
