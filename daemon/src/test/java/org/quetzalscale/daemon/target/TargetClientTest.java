package org.quetzalscale.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalscale.net.EventLoops;

/** The connection limit of a target applies to all event loops together. */
@Timeout(30)
class TargetClientTest {
    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final EventLoop first = group.next();
    private final EventLoop second = group.next();
    private final AtomicLong nowMillis = new AtomicLong();
    private final TargetClient client =
            new TargetClient(nowMillis::get, new TargetLimits(1, 2_000, 1_000, 1024), a -> {});

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private TargetConnection acquire(String address, EventLoop loop) {
        return loop.submit(() -> client.acquire(address, loop, 1_000))
                .syncUninterruptibly()
                .getNow()
                .syncUninterruptibly()
                .getNow();
    }

    private void release(TargetConnection connection, EventLoop loop) {
        loop.submit(connection::releaseUnused).syncUninterruptibly();
    }

    @Test
    void anIdleConnectionOfAnotherLoopMakesRoom() throws Exception {
        try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + target.getLocalPort();
            TargetConnection idle = acquire(address, first);
            release(idle, first);
            assertThat(acquire(address, first)).isSameAs(idle);
            release(idle, first);
            TargetConnection other = acquire(address, second);
            assertThat(other).isNotSameAs(idle);
            while (client.openConnections(address) > 1) {
                Thread.onSpinWait();
            }
            assertThat(second.submit(other::isUsable).syncUninterruptibly().getNow()).isTrue();
        }
    }

    @Test
    void aHostNameIsNotLookedUp() {
        assertThat(
                        first.submit(() -> client.acquire("localhost:80", first, 1_000))
                                .syncUninterruptibly()
                                .getNow()
                                .awaitUninterruptibly()
                                .cause())
                .hasMessageContaining("localhost:80");
    }
}
