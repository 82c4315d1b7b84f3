package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerLookupTest {
    private final CallerLookup lookup =
            new CallerLookup(() -> Map.of("node-1", ProcessHandle.current().pid()));

    @BeforeEach
    void start() {
        lookup.start();
    }

    @AfterEach
    void stop() {
        lookup.stop();
    }

    private String callerOf(int remotePort, int localPort) throws Exception {
        return lookup.callerOf(remotePort, localPort)
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @Nested
    class Connections {
        @Test
        void ofANodeAreFoundByTheirPorts() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    Socket client = new Socket(server.getInetAddress(), server.getLocalPort())) {
                assertThat(callerOf(client.getLocalPort(), server.getLocalPort()))
                        .isEqualTo("node-1");
            }
        }

        @Test
        void thatHaveEndedAreOfNobody() throws Exception {
            assertThat(callerOf(1, closedPort())).isEqualTo(CallerLookup.UNKNOWN);
        }

        private int closedPort() throws IOException {
            try (ServerSocket server = new ServerSocket(0)) {
                return server.getLocalPort();
            }
        }
    }
}
