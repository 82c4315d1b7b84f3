package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    private static final int COUNT = 20;

    private final FreePorts ports = new FreePorts();
    private final FreePorts others = new FreePorts();

    @AfterEach
    void stop() {
        ports.stop();
        others.stop();
    }

    @Nested
    class Reservations {
        /** Otherwise a node that was down does not start again, and clients call another soak's. */
        @Test
        void keepOthersFromPortsThatNobodyListensOn() throws IOException {
            int first = ports.next(COUNT);
            int other = others.next(COUNT);
            assertThat(Math.abs(other - first)).isGreaterThanOrEqualTo(COUNT);
        }
    }
}
