package org.quetzalscale.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.Fixtures;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.queue.AttemptOutcome;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.time.VirtualTime;

/** Tests worker selection, eligibility, and ejection of failing workers. */
class WorkerChooserTest {
    private static final InstanceId SIBLING = new InstanceId("i-2");

    private final VirtualTime time = new VirtualTime();
    private final Fixtures config = new Fixtures();
    private final Set<WorkerId> leavingWorkers = new HashSet<>();
    private final WorkerChooser chooser =
            new WorkerChooser(config, leavingWorkers::contains, new Random(3), time);

    private Optional<WorkerId> choose() {
        return chooser.choose(Fixtures.POOL, Set.of()).map(WorkerSlot::worker);
    }

    private void runAttempts(String worker, AttemptOutcome outcome, int times) {
        for (int i = 0; i < times; i++) {
            WorkerId chosen;
            do {
                chosen = choose().orElseThrow();
                chooser.release(chosen, AttemptOutcome.ABANDONED);
            } while (!chosen.value().equals(worker));
            chooser.choose(Fixtures.POOL, allBut(worker)).orElseThrow();
            chooser.release(chosen, outcome);
        }
    }

    private Set<WorkerId> allBut(String worker) {
        Set<WorkerId> others = new HashSet<>();
        for (String name : config.snapshot().all(Kind.WORKERS).keySet()) {
            if (!name.equals(worker)) {
                others.add(new WorkerId(name));
            }
        }
        return others;
    }

    /** Guards against choosing a worker that must not receive requests. */
    @Nested
    class Eligibility {
        @Test
        void excludesDrainingWorkers() {
            config.worker("w1", 8, true, WorkerPhase.ACTIVE);
            config.worker("w2", 8, false, WorkerPhase.DRAINING);
            assertThat(choose()).isEmpty();
            assertThat(chooser.servesPool(Fixtures.POOL)).isFalse();
        }

        @Test
        void excludesWorkersThatThePlatformListsAsLeaving() {
            config.worker("w1", 8);
            leavingWorkers.add(new WorkerId("w1"));
            assertThat(choose()).isEmpty();
        }

        @Test
        void excludesATargetThatAnnouncedItsShutdown() {
            config.worker("w1", 8);
            chooser.markShuttingDown(new WorkerId("w1"));
            assertThat(choose()).isEmpty();
            time.advance(WorkerChooser.SHUTDOWN_VALID_MILLIS);
            assertThat(choose()).isPresent();
        }

        @Test
        void excludesFullWorkersUntilAReportExpires() {
            config.worker("w1", 8);
            chooser.updateSiblingLoad(SIBLING, Map.of(new WorkerId("w1"), 7), Map.of());
            assertThat(choose()).isPresent();
            assertThat(choose()).isEmpty();
            time.advance(WorkerChooser.REPORT_VALID_MILLIS);
            chooser.removeExpiredReports();
            assertThat(choose()).isPresent();
        }

        @Test
        void excludesAWorkerForOneReportPeriodAfterARefusal() {
            config.worker("w1", 8);
            chooser.release(choose().orElseThrow(), AttemptOutcome.REFUSED);
            assertThat(choose()).isEmpty();
            time.advance(WorkerLoad.FULL_AFTER_REFUSAL_MILLIS);
            assertThat(choose()).isPresent();
        }
    }

    /** Guards against an instance that keeps all slots of a full pool. */
    @Test
    void dividesAFullPoolInProportionToDemand() {
        config.worker("w1", 8);
        assertThat(chooser.slotShare(Fixtures.POOL, 30)).isEqualTo(8);
        chooser.updateSiblingLoad(SIBLING, Map.of(), Map.of(Fixtures.POOL, 10));
        assertThat(chooser.slotShare(Fixtures.POOL, 30)).isEqualTo(6);
        assertThat(chooser.slotShare(Fixtures.POOL, 10)).isEqualTo(4);
    }

    /** Guards against a choice that ignores the load that siblings reported. */
    @Test
    void prefersTheLessLoadedOfTwo() {
        config.worker("w1", 8).worker("w2", 8);
        chooser.updateSiblingLoad(SIBLING, Map.of(new WorkerId("w1"), 4), Map.of());
        for (int i = 0; i < 4; i++) {
            assertThat(choose()).contains(new WorkerId("w2"));
        }
    }

    /** Guards against a failing worker that attracts most requests because it fails quickly. */
    @Nested
    class Ejection {
        @Test
        void probesAnEjectedWorkerWithOneRequest() {
            config.worker("w1", 8).worker("w2", 8).worker("w3", 8);
            runAttempts("w1", AttemptOutcome.FAILED, WorkerLoad.FAILURES_BEFORE_EJECTION);
            WorkerId failing = new WorkerId("w1");
            assertThat(chooser.isEjected(failing)).isTrue();
            time.advance(WorkerLoad.EJECTION_MILLIS);
            assertThat(chooser.isEjected(failing)).isFalse();
            assertThat(chooser.choose(Fixtures.POOL, allBut("w1"))).isPresent();
            assertThat(chooser.choose(Fixtures.POOL, allBut("w1"))).isEmpty();
            chooser.release(failing, AttemptOutcome.BROKEN);
            time.advance(2 * WorkerLoad.EJECTION_MILLIS - 1);
            assertThat(chooser.isEjected(failing)).isTrue();
            time.advance(1);
            assertThat(chooser.choose(Fixtures.POOL, allBut("w1"))).isPresent();
            chooser.release(failing, AttemptOutcome.ANSWERED);
            assertThat(chooser.isEjected(failing)).isFalse();
        }

        @Test
        void neverEjectsMoreThanTheMaximumFraction() {
            config.worker("w1", 8).worker("w2", 8).worker("w3", 8);
            for (String worker : new String[] {"w1", "w2", "w3"}) {
                for (int i = 0; i < WorkerLoad.FAILURES_BEFORE_EJECTION; i++) {
                    chooser.choose(Fixtures.POOL, allBut(worker))
                            .ifPresent(p -> chooser.release(p.worker(), AttemptOutcome.FAILED));
                }
            }
            Set<WorkerId> used = new HashSet<>();
            for (int i = 0; i < 16; i++) {
                choose().ifPresent(used::add);
            }
            assertThat(used).hasSize(2);
        }

        @Test
        void doesNotCountAbandonedAttemptsAsFailures() {
            config.worker("w1", 8).worker("w2", 8);
            runAttempts("w1", AttemptOutcome.ABANDONED, 2 * WorkerLoad.FAILURES_BEFORE_EJECTION);
            assertThat(chooser.isEjected(new WorkerId("w1"))).isFalse();
        }
    }
}
