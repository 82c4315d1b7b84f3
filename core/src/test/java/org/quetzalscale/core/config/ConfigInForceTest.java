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
        ConfigSimulation world = new ConfigSimulation(instances, 7, validity);
        world.run(START_MILLIS);
        assertThat(world.nodes).allMatch(ConfigSimulation.Node::isValid);
        return world;
    }

    /** Renews by the word of the one sibling that answered last, instead of all. */
    private static ValidityTracker renewedByAnySibling() {
        return new ValidityTracker(
                asked ->
                        asked.stream()
                                .filter(OptionalLong::isPresent)
                                .mapToLong(OptionalLong::getAsLong)
                                .max());
    }

    /** Two instances without the table and cut off from the third, which accepts a write. */
    private static ConfigSimulation withAcceptorCutOff(Supplier<ValidityTracker> validity) {
        ConfigSimulation world = started(3, validity);
        world.nodes.get(1).tableCut = true;
        world.nodes.get(2).tableCut = true;
        // Reads that are under way end before the write, so that nobody hears of it from the table.
        world.run(500);
        new Fault(Fault.Type.ISOLATE, 0, 0, 0).applyTo(world);
        world.nodes.get(0).write();
        world.run(4_000);
        assertThat(world.inForce).isEqualTo(1);
        return world;
    }

    @Nested
    class Rules {
        @Test
        void expireInstancesThatTheAcceptorCanNotReach() {
            ConfigSimulation world = withAcceptorCutOff(ValidityTracker::new);
            assertThat(world.violations).isEmpty();
            assertThat(world.nodes.get(1).isValid()).isFalse();
        }

        // The property has to fail for a wrong rule, else the simulation shows nothing.
        @Test
        void areViolatedByRenewalThroughOneSibling() {
            ConfigSimulation world = withAcceptorCutOff(ConfigInForceTest::renewedByAnySibling);
            assertThat(world.violations).isNotEmpty();
        }

        // The dead acceptor refuses connections, but its change must not be forgotten with it.
        @Test
        void keepExpiredInstancesOutAfterTheAcceptorDied() {
            ConfigSimulation world = withAcceptorCutOff(ValidityTracker::new);
            world.nodes.get(0).kill();
            new Fault(Fault.Type.HEAL, 0, 0, 0).applyTo(world);
            world.run(10_000);
            assertThat(world.violations).isEmpty();
            assertThat(world.nodes.get(1).isValid()).isFalse();
            world.nodes.get(1).tableCut = false;
            world.run(5_000);
            assertThat(world.nodes.get(1).state.snapshot().revision().value()).isEqualTo(1);
            assertThat(world.nodes.get(1).isValid()).isTrue();
            assertThat(world.nodes.get(2).isValid()).isTrue();
        }

        @Test
        void waitForAFrozenInstanceToExpire() {
            ConfigSimulation world = started(3, ValidityTracker::new);
            world.freeze(world.nodes.get(2), 20_000);
            world.nodes.get(0).write();
            world.run(2_000);
            assertThat(world.inForce).isZero();
            world.run(28_000);
            assertThat(world.inForce).isEqualTo(1);
            assertThat(world.violations).isEmpty();
            assertThat(world.nodes.get(2).isValid()).isTrue();
        }
    }

    @Nested
    class Availability {
        @Test
        void outlastsATableOutageWithADeathAndANewInstance() {
            ConfigSimulation world = started(4, ValidityTracker::new);
            world.nodes.get(1).write();
            world.run(2_000);
            world.tableDown = true;
            for (int i = 0; i < 60; i++) {
                if (i == 20) {
                    world.nodes.get(3).kill();
                }
                if (i == 40) {
                    world.nodes.get(3).restart(false);
                }
                world.run(1_000);
                assertThat(world.nodes.subList(0, 3)).allMatch(ConfigSimulation.Node::isValid);
            }
            assertThat(world.nodes.get(3).isValid()).isTrue();
            assertThat(world.nodes.get(3).state.snapshot().revision().value()).isEqualTo(1);
        }

        // An instance alone without the table has nobody whose word could renew its copy.
        @Test
        void endsForASingleInstanceWithoutTheTable() {
            ConfigSimulation world = started(1, ValidityTracker::new);
            world.tableDown = true;
            world.run(4_000);
            assertThat(world.nodes.get(0).isValid()).isFalse();
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
        ConfigSimulation world = new ConfigSimulation(4, seed, ValidityTracker::new);
        world.run(START_MILLIS);
        for (Fault fault : faults) {
            fault.applyTo(world);
            world.run(fault.pauseMillis());
        }
        assertThat(world.violations).isEmpty();
    }
}
