package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TakeoversTest {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final Takeovers takeovers = new Takeovers();

    private static Run startBy(String node, double at, boolean late) {
        return new Run("a.0.0.0", 1, "w-1", node, late, at, NEVER, "", NEVER, false);
    }

    @Nested
    class Descriptions {
        @Test
        void tellTheTimesUntilTheFirstStartAndTheRelease() {
            takeovers.onOwner("node-1", 1);
            takeovers.onOwner("node-2", 10);
            takeovers.onReleased("node-2", 16.5, "reason=expired");
            List<Run> runs =
                    List.of(
                            startBy("node-2", 9, false),
                            startBy("node-1", 10.5, false),
                            startBy("node-2", 11, true),
                            startBy("node-2", 12.25, false));
            List<String> lines = takeovers.describe(runs);
            assertThat(lines).hasSize(2);
            assertThat(lines.get(0)).contains("owner node-1 until 10.000: first start after -");
            assertThat(lines.get(1))
                    .contains("first start after 2.250 s")
                    .contains("released after 6.500 s reason=expired");
        }

        /** A release that a node logs late must not be taken for that of a later term. */
        @Test
        void countOneReleaseForATerm() {
            takeovers.onOwner("node-1", 1);
            takeovers.onReleased("node-1", 2, "first");
            takeovers.onReleased("node-1", 3, "second");
            assertThat(takeovers.describe(List.of()).get(0))
                    .contains("first")
                    .doesNotContain("second");
        }
    }
}
