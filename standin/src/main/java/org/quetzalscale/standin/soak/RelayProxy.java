package org.quetzalscale.standin.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalscale.net.TcpListeners;

/**
 * A loopback proxy in front of a node's relay server. While the node is cut from a caller, nothing
 * passes between them; what either has sent meanwhile arrives when the cut is over, as with TCP.
 */
final class RelayProxy {
    /** The two connections of a caller's link with the node. */
    private record Link(String caller, SocketChannel inbound, Channel outbound) {}

    private final String node;
    private final InetSocketAddress relay;
    private final EventLoopGroup group;
    private final WireServer.Callers callers;
    private final Faults faults;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Channel listener;

    /**
     * Listens on a free port.
     *
     * @param node name of the node, which is the place of the faults that cut it from a caller
     * @param relay address of the node's relay server
     * @param group event loops, owned by the caller
     */
    RelayProxy(
            String node,
            InetSocketAddress relay,
            EventLoopGroup group,
            WireServer.Callers callers,
            Faults faults) {
        this.node = node;
        this.relay = relay;
        this.group = group;
        this.callers = callers;
        this.faults = faults;
        this.listener =
                TcpListeners.listen(
                        group, new InetSocketAddress("127.0.0.1", 0), false, this::accept);
    }

    int port() {
        return TcpListeners.port(listener);
    }

    /**
     * Applies the present faults to all links. On return nothing passes that was cut. Not for event
     * loops, because it waits for them.
     */
    void applyFaults() {
        List<Future<?>> applied = new ArrayList<>();
        links.forEach(link -> applied.addAll(applyFaults(link)));
        applied.forEach(Future::syncUninterruptibly);
    }

    /** Closes the listener and all links. */
    void stop() {
        listener.close();
        links.forEach(link -> link.inbound().close());
    }

    private void accept(SocketChannel inbound) {
        int remotePort = inbound.remoteAddress().getPort();
        callers.callerOf(remotePort, inbound.localAddress().getPort())
                .thenAccept(caller -> connect(caller, inbound));
    }

    private void connect(String caller, SocketChannel inbound) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Forwarder(inbound))
                .connect(relay)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                join(new Link(caller, inbound, connected.channel()));
                            } else {
                                reset(inbound);
                            }
                        });
    }

    private void join(Link link) {
        link.inbound().pipeline().addLast(new Forwarder(link.outbound()));
        links.add(link);
        link.inbound().closeFuture().addListener(closed -> links.remove(link));
        applyFaults(link);
    }

    private List<Future<?>> applyFaults(Link link) {
        boolean passes = !faults.isCut(node, link.caller());
        return List.of(setReading(link.inbound(), passes), setReading(link.outbound(), passes));
    }

    /** On another thread than the event loop, a read that has begun would still pass. */
    private static Future<?> setReading(Channel channel, boolean reading) {
        return channel.eventLoop().submit(() -> channel.config().setAutoRead(reading));
    }

    /** A node without a process refuses its callers. */
    private static void reset(SocketChannel channel) {
        channel.config().setSoLinger(0);
        channel.close();
    }

    /** Passes on what one connection receives to the other, and its end. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Forwarder(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            other.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
