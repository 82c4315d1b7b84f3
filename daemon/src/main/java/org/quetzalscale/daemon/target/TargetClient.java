package org.quetzalscale.daemon.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalscale.core.time.TimeSource;

/** Opens connections to targets and pools those that can carry another request. */
public final class TargetClient {
    // Limits how much of a request's body this process buffers for a slow target.
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
            new WriteBufferWaterMark(16 << 10, 32 << 10);

    private final TimeSource time;
    private final TargetLimits limits;
    private final ClosingListener closingListener;
    private final Map<String, TargetPool> pools = new ConcurrentHashMap<>();

    /** Creates a client; connections are opened on demand. */
    public TargetClient(TimeSource time, TargetLimits limits, ClosingListener closingListener) {
        this.time = time;
        this.limits = limits;
        this.closingListener = closingListener;
    }

    /**
     * Returns a new connection, or a pooled one that was last used within the idle limit. The
     * future fails if no connection can be opened in time; no byte of a request has been sent then.
     *
     * @param address IP address and port
     * @param loop event loop of the connection, which also runs the listeners of the future
     * @param maxMillis time limit in milliseconds; the connect timeout applies if it is shorter
     */
    public Future<TargetConnection> acquire(String address, EventLoop loop, long maxMillis) {
        TargetPool pool =
                pools.computeIfAbsent(
                        address, key -> new TargetPool(key, limits, time, closingListener));
        TargetConnection pooled = pool.acquireIdle(loop);
        if (pooled != null) {
            return loop.newSucceededFuture(pooled);
        }
        return open(
                address,
                pool,
                loop,
                (int) Math.max(1, Math.min(limits.connectMillis(), maxMillis)));
    }

    /** Returns the number of connections to the target that are open or being opened. */
    public int openConnections(String address) {
        TargetPool pool = pools.get(address);
        return pool == null ? 0 : pool.openConnections();
    }

    /** Closes the idle connections; those in use stay open until their requests end. */
    public void stop() {
        pools.values().forEach(TargetPool::closeAll);
    }

    private Future<TargetConnection> open(
            String address, TargetPool pool, EventLoop loop, int connectMillis) {
        Promise<TargetConnection> opened = loop.newPromise();
        InetSocketAddress remote;
        try {
            remote = parse(address);
        } catch (java.net.UnknownHostException | IllegalArgumentException e) {
            return opened.setFailure(e);
        }
        TargetResponseDecoder decoder = new TargetResponseDecoder(limits.maxHeaderBytes());
        TargetConnection connection = new TargetConnection(pool, decoder);
        pool.opening();
        var connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpRequestEncoder())
                                                .addLast(decoder)
                                                .addLast(new FlowControlHandler())
                                                .addLast(connection);
                                    }
                                })
                        .connect(remote);
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connecting
                                .channel()
                                .closeFuture()
                                .addListener(closed -> pool.closed(connection));
                        opened.setSuccess(connection);
                    } else {
                        pool.closed(connection);
                        opened.setFailure(done.cause());
                    }
                });
        return opened;
    }

    /** Parses a numeric address; resolving a host name would block the event loop. */
    private static InetSocketAddress parse(String address) throws java.net.UnknownHostException {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, Math.max(0, colon));
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+\\]")) {
            throw new IllegalArgumentException(
                    "target address \"" + address + "\" is not an IP number and a port");
        }
        return new InetSocketAddress(
                InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
    }
}
