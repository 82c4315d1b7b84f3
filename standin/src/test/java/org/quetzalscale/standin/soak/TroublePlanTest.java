package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TroublePlanTest {
    private static final int MILLIS = 60_000;
    private static final int NODES = 4;
    private static final int MACHINES = 10;

    private static List<Trouble> draw(long seed) {
        return TroublePlan.draw(seed, MILLIS, NODES, MACHINES);
    }

    @Nested
    class Seeds {
        /** A finding can only be played again if its seed gives the same troubles. */
        @Test
        void theSameSeedGivesTheSameTroubles() {
            assertThat(draw(7)).isEqualTo(draw(7)).isNotEqualTo(draw(8));
        }

        @Test
        void someSeedsTogetherGiveEveryKindOfTheMixedScenario() {
            Set<Trouble.Kind> kinds =
                    LongStream.range(0, 20)
                            .boxed()
                            .flatMap(seed -> draw(seed).stream())
                            .map(Trouble::kind)
                            .collect(Collectors.toSet());
            assertThat(kinds)
                    .isEqualTo(
                            EnumSet.range(Trouble.Kind.NODE_TERMINATED, Trouble.Kind.LIST_WRONG));
        }
    }

    @Nested
    class Series {
        @Test
        void troublesAreInOrderAndOverInTime() {
            for (long seed = 0; seed < 20; seed++) {
                List<Trouble> troubles = draw(seed);
                assertThat(troubles).isSortedAccordingTo(Comparator.comparing(Trouble::atMillis));
                assertThat(troubles).allMatch(trouble -> trouble.endMillis() <= MILLIS);
            }
        }

        @Test
        void troublesOverlap() {
            List<Trouble> troubles = draw(1);
            long overlapping =
                    troubles.stream()
                            .filter(
                                    trouble ->
                                            troubles.stream()
                                                    .anyMatch(
                                                            other ->
                                                                    other.atMillis()
                                                                                    < trouble
                                                                                            .atMillis()
                                                                            && other.endMillis()
                                                                                    > trouble
                                                                                            .atMillis()))
                            .count();
            assertThat(overlapping).isGreaterThan(troubles.size() / 3);
        }

        /** With too few workers left, no job could complete. */
        @Test
        void fewWorkersEndForGood() {
            for (long seed = 0; seed < 50; seed++) {
                assertThat(draw(seed))
                        .filteredOn(trouble -> trouble.kind() == Trouble.Kind.WORKER_DEAD)
                        .hasSizeLessThanOrEqualTo(2);
            }
        }
    }
}
