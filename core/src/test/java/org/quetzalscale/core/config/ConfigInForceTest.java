package org.quetzalscale.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigInForceTest {
    private static final int START_MILLIS = 5_000;

    private static ConfigSimulation started(int instances, Supplier<ValidityTracker> validity) {
        ConfigSimulation simulation = new ConfigSimulation(instances, 7, validity);
        simulation.run(START_MILLIS);
        assertThat(simulation.nodes).allMatch(ConfigSimulation.Node::isValid);
        return simulation;
    }

    /** Renews through the one sibling asked last instead of through all siblings. */
    private static ValidityTracker renewedByAnySibling() {
        return new ValidityTracker(
                asked ->
                        asked.stream()
                                .filter(OptionalLong::isPresent)
                                .mapToLong(OptionalLong::getAsLong)
                                .max());
    }

    /** Cuts two instances off from the table and from the third, which accepts a write. */
    private static ConfigSimulation withAcceptorCutOff(Supplier<ValidityTracker> validity) {
        ConfigSimulation simulation = started(3, validity);
        simulation.nodes.get(1).tableCut = true;
        simulation.nodes.get(2).tableCut = true;
        // Pending reads end before the write, so no instance learns of it from the table.
        simulation.run(500);
        new Fault(Fault.Type.ISOLATE, 0, 0, 0).applyTo(simulation);
        simulation.nodes.get(0).write();
        simulation.run(4_000);
        assertThat(simulation.inForce).isEqualTo(1);
        return simulation;
    }

    @Nested
    class Rules {
        @Test
        void expireInstancesThatTheAcceptorCanNotReach() {
            ConfigSimulation simulation = withAcceptorCutOff(ValidityTracker::new);
            assertThat(simulation.violations).isEmpty();
            assertThat(simulation.nodes.get(1).isValid()).isFalse();
        }

        // Shows that the simulation detects a wrong renewal rule.
        @Test
        void areViolatedByRenewalThroughOneSibling() {
            ConfigSimulation simulation =
                    withAcceptorCutOff(ConfigInForceTest::renewedByAnySibling);
            assertThat(simulation.violations).isNotEmpty();
        }

        // The killed acceptor refuses connections, but its change must not be lost with it.
        @Test
        void keepExpiredInstancesOutAfterTheAcceptorDied() {
            ConfigSimulation simulation = withAcceptorCutOff(ValidityTracker::new);
            simulation.nodes.get(0).kill();
            new Fault(Fault.Type.HEAL, 0, 0, 0).applyTo(simulation);
            simulation.run(10_000);
            assertThat(simulation.violations).isEmpty();
            assertThat(simulation.nodes.get(1).isValid()).isFalse();
            simulation.nodes.get(1).tableCut = false;
            simulation.run(5_000);
            assertThat(simulation.nodes.get(1).state.snapshot().revision().value()).isEqualTo(1);
            assertThat(simulation.nodes.get(1).isValid()).isTrue();
            assertThat(simulation.nodes.get(2).isValid()).isTrue();
        }

        @Test
        void waitForAFrozenInstanceToExpire() {
            ConfigSimulation simulation = started(3, ValidityTracker::new);
            simulation.freeze(simulation.nodes.get(2), 20_000);
            simulation.nodes.get(0).write();
            simulation.run(2_000);
            assertThat(simulation.inForce).isZero();
            simulation.run(28_000);
            assertThat(simulation.inForce).isEqualTo(1);
            assertThat(simulation.violations).isEmpty();
            assertThat(simulation.nodes.get(2).isValid()).isTrue();
        }
    }

    @Nested
    class Availability {
        @Test
        void outlastsATableOutageWithADeathAndANewInstance() {
            ConfigSimulation simulation = started(4, ValidityTracker::new);
            simulation.nodes.get(1).write();
            simulation.run(2_000);
            simulation.tableDown = true;
            for (int i = 0; i < 60; i++) {
                if (i == 20) {
                    simulation.nodes.get(3).kill();
                }
                if (i == 40) {
                    simulation.nodes.get(3).restart(false);
                }
                simulation.run(1_000);
                assertThat(simulation.nodes.subList(0, 3)).allMatch(ConfigSimulation.Node::isValid);
            }
            assertThat(simulation.nodes.get(3).isValid()).isTrue();
            assertThat(simulation.nodes.get(3).state.snapshot().revision().value()).isEqualTo(1);
        }

        // A single instance without the table has no sibling whose statement renews its copy.
        @Test
        void endsForASingleInstanceWithoutTheTable() {
            ConfigSimulation simulation = started(1, ValidityTracker::new);
            simulation.tableDown = true;
            simulation.run(4_000);
            assertThat(simulation.nodes.get(0).isValid()).isFalse();
        }
    }

    @Provide
    Arbitrary<List<Fault>> faults() {
        Arbitrary<Integer> index = Arbitraries.integers().between(0, 3);
        return Combinators.combine(
                        Arbitraries.of(Fault.Type.class),
                        index,
                        index,
                        Arbitraries.integers().between(0, 6_000))
                .as(Fault::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    @Property(tries = 500, seed = "4711")
    void noInstanceAcceptsUnderAnOlderRevisionThanOneInForce(
            @ForAll("faults") List<Fault> faults, @ForAll long seed) {
        ConfigSimulation simulation = new ConfigSimulation(4, seed, ValidityTracker::new);
        simulation.run(START_MILLIS);
        for (Fault fault : faults) {
            fault.applyTo(simulation);
            simulation.run(fault.pauseMillis());
        }
        assertThat(simulation.violations).isEmpty();
    }
}
