package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalscale.standin.soak.Trouble.Kind;

class ScenarioPlanTest {
    private static final int MILLIS = 60_000;
    private static final int NODES = 4;
    private static final int MACHINES = 10;

    private static List<Trouble> draw(Scenario scenario, long seed) {
        return scenario.plan().draw(seed, MILLIS, NODES, MACHINES);
    }

    private static List<Trouble> drawKind(Scenario scenario, Kind kind) {
        return draw(scenario, 1).stream().filter(trouble -> trouble.kind() == kind).toList();
    }

    @Nested
    class Seeds {
        /** A finding can only be played again if its seed gives the same troubles. */
        @ParameterizedTest
        @EnumSource(Scenario.class)
        void theSameSeedGivesTheSameTroubles(Scenario scenario) {
            assertThat(draw(scenario, 7))
                    .isEqualTo(draw(scenario, 7))
                    .isNotEqualTo(draw(scenario, 8));
        }

        @ParameterizedTest
        @EnumSource(Scenario.class)
        void troublesAreInOrderAndOverInTime(Scenario scenario) {
            for (long seed = 0; seed < 20; seed++) {
                assertThat(draw(scenario, seed))
                        .isNotEmpty()
                        .isSortedAccordingTo(Comparator.comparing(Trouble::atMillis))
                        .allMatch(trouble -> trouble.endMillis() <= MILLIS);
            }
        }

        /** A kind that no scenario draws is never played. */
        @Test
        void someSeedsOfAllScenariosGiveEveryKind() {
            Set<Kind> kinds =
                    Arrays.stream(Scenario.values())
                            .flatMap(
                                    scenario ->
                                            LongStream.range(0, 20)
                                                    .boxed()
                                                    .flatMap(seed -> draw(scenario, seed).stream()))
                            .map(Trouble::kind)
                            .collect(Collectors.toSet());
            assertThat(kinds).isEqualTo(EnumSet.allOf(Kind.class));
        }
    }

    @Nested
    class Names {
        @ParameterizedTest
        @EnumSource(Scenario.class)
        void areParsed(Scenario scenario) {
            assertThat(Scenario.of(scenario.optionName())).isEqualTo(scenario);
        }

        @Test
        void thatAreUnknownAreRefused() {
            assertThatThrownBy(() -> Scenario.of("no-such"))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("late-list");
        }
    }

    @Nested
    class Troubles {
        /** A shorter partition ends before the next owner has taken over the tasks. */
        @Test
        void partitionsOfTheOwnerOutlastItsLease() {
            assertThat(drawKind(Scenario.PARTITION, Kind.PARTITION))
                    .hasSizeGreaterThan(2)
                    .allMatch(Trouble::atOwner)
                    .allMatch(trouble -> trouble.durationMillis() >= 6_000);
        }

        /** A worker that refuses connections for good tells nothing about a list that lags. */
        @Test
        void workersRefuseConnectionsAfterTheyWereOff() {
            List<Trouble> off = drawKind(Scenario.LATE_LIST, Kind.MACHINE_OFF);
            assertThat(drawKind(Scenario.LATE_LIST, Kind.WORKER_REFUSES))
                    .hasSizeGreaterThan(20)
                    .allMatch(
                            refusal ->
                                    off.stream()
                                            .anyMatch(
                                                    trouble ->
                                                            trouble.machine() == refusal.machine()
                                                                    && trouble.endMillis()
                                                                            < refusal.atMillis()));
        }

        /** A list that is wrong for less time is covered by the lag that owners expect. */
        @Test
        void listsAreWrongForLongerThanTheyMayLag() {
            assertThat(drawKind(Scenario.WRONG_LIST, Kind.MACHINE_LISTED_WRONG))
                    .hasSizeGreaterThan(10)
                    .allMatch(trouble -> trouble.durationMillis() > 3_000);
        }
    }
}
