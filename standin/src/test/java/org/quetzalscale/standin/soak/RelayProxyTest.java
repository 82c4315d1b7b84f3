package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.net.EventLoops;

class RelayProxyTest {
    private static final String NODE = "node-1";
    private static final String CALLER = "node-2";
    private static final int SILENCE_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final Fault CUT = new Fault(FaultMode.SILENT, NODE, CALLER, 1, 0);

    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final Faults faults = new Faults(1);
    private ServerSocket relay;
    private RelayProxy proxy;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        relay = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        relay.setSoTimeout(TIMEOUT_MILLIS);
        proxy =
                new RelayProxy(
                        NODE,
                        new InetSocketAddress(relay.getInetAddress(), relay.getLocalPort()),
                        group,
                        WireServer.known(CALLER),
                        faults);
        caller = new Socket(relay.getInetAddress(), proxy.port());
        caller.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        relay.close();
        proxy.stop();
        group.shutdownGracefully();
    }

    private Socket accept() throws IOException {
        Socket accepted = relay.accept();
        accepted.setSoTimeout(TIMEOUT_MILLIS);
        return accepted;
    }

    @Nested
    class Links {
        @Test
        void passInBothDirections() throws IOException {
            try (Socket node = accept()) {
                caller.getOutputStream().write(1);
                assertThat(node.getInputStream().read()).isEqualTo(1);
                node.getOutputStream().write(2);
                assertThat(caller.getInputStream().read()).isEqualTo(2);
            }
        }

        @Test
        void endTogether() throws IOException {
            accept().close();
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }

        /** A node whose process has ended must not look like one that is silent. */
        @Test
        void toANodeWithoutAProcessAreReset() throws IOException {
            accept().close();
            relay.close();
            try (Socket next = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
                next.setSoTimeout(TIMEOUT_MILLIS);
                assertThatThrownBy(() -> next.getInputStream().read())
                        .isInstanceOf(SocketException.class)
                        .isNotInstanceOf(SocketTimeoutException.class);
            }
        }
    }

    @Nested
    class Cuts {
        /** A cut that lets calls pass in one direction is not a partition. */
        @Test
        void silenceBothDirectionsUntilTheyAreOver() throws IOException {
            try (Socket node = accept()) {
                pass(node);
                faults.begin(CUT);
                proxy.applyFaults();
                caller.getOutputStream().write(2);
                node.getOutputStream().write(3);
                assertSilent(node);
                assertSilent(caller);
                faults.end(CUT);
                proxy.applyFaults();
                assertThat(node.getInputStream().read()).isEqualTo(2);
                assertThat(caller.getInputStream().read()).isEqualTo(3);
            }
        }

        @Test
        void ofOtherCallersDoNotConcernTheLink() throws IOException {
            try (Socket node = accept()) {
                faults.begin(new Fault(FaultMode.SILENT, NODE, "node-3", 1, 0));
                proxy.applyFaults();
                pass(node);
            }
        }

        private void pass(Socket node) throws IOException {
            caller.getOutputStream().write(1);
            assertThat(node.getInputStream().read()).isEqualTo(1);
        }

        private static void assertSilent(Socket socket) throws IOException {
            socket.setSoTimeout(SILENCE_MILLIS);
            assertThatThrownBy(() -> socket.getInputStream().read())
                    .isInstanceOf(SocketTimeoutException.class);
            socket.setSoTimeout(TIMEOUT_MILLIS);
        }
    }
}
