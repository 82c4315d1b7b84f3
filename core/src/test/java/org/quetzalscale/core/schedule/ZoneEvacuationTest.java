package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;

/** Worker 1 is in the zone that is evacuated, worker 2 in another one. */
final class ZoneEvacuationTest extends SchedulerFixture {
    private static final WorkerId INSIDE = Samples.workerId(1);
    private static final WorkerId OUTSIDE = Samples.workerId(2);

    private final List<RecordedOrders.Start> ended = new ArrayList<>();
    private long endNumber;

    ZoneEvacuationTest() {
        super(Samples.policy(NO_CAP));
    }

    @BeforeEach
    void addInside() {
        addWorker(1, Samples.ZONE, 0);
    }

    private void addWorker(int worker, ZoneId zone, long coldMillis) {
        scheduler.registerWorker(Samples.inZone(worker, zone, coldMillis), now);
        report(worker, List.of(), List.of());
    }

    private void addOutside() {
        addWorker(2, Samples.OTHER_ZONE, 0);
    }

    private void evacuate() {
        scheduler.updateEvacuatedZones(Set.of(Samples.ZONE));
    }

    private void restore() {
        scheduler.updateEvacuatedZones(Set.of());
    }

    private long startsOn(WorkerId worker) {
        return orders.starts.stream().filter(start -> start.worker().equals(worker)).count();
    }

    /** Reports all runs of a worker that have not ended as running at a percentage. */
    private void reportRunning(int worker, int percent) {
        List<RunningTask> running =
                orders.starts.stream()
                        .filter(start -> start.worker().equals(Samples.workerId(worker)))
                        .filter(start -> !ended.contains(start))
                        .map(start -> running(start, percent))
                        .toList();
        report(worker, running, List.of());
    }

    /** Starts the only job's tasks on worker 1 and reports them as running at 100 percent. */
    private void serveInside(int count, double cores, int maxUnavailable) {
        add(Samples.job(1, Samples.lasting(count, cores, maxUnavailable)));
        plan();
        orders.starts.forEach(this::confirm);
        reportRunning(1, 100);
        addOutside();
        now += 10;
    }

    /** Reports that the run of the latest stop has ended. */
    private void endStopped() {
        RecordedOrders.Stop stop = orders.stops.get(orders.stops.size() - 1);
        RecordedOrders.Start start =
                orders.starts.stream()
                        .filter(s -> s.order().task().equals(stop.task()))
                        .filter(s -> s.order().run() == stop.run())
                        .findFirst()
                        .orElseThrow();
        ended.add(start);
        confirmStop(start);
        List<RunningTask> others =
                orders.starts.stream()
                        .filter(s -> s.worker().equals(INSIDE) && !ended.contains(s))
                        .map(SchedulerFixture::running)
                        .toList();
        List<FinishedRun> ends = List.of(end(++endNumber, start, RunEnd.STOPPED));
        report(1, others, ends);
    }

    @Nested
    final class Starts {
        /** Guards against starts in the zone (EVAC) while other zones are full or have none. */
        @Test
        void waitUntilTheZoneIsRestored() {
            evacuate();
            add(Samples.job(1, Samples.step(2, 1)));
            plan();
            assertThat(orders.starts).isEmpty();

            restore();
            plan();
            assertThat(startsOn(INSIDE)).isEqualTo(2);
        }

        /** Guards against starts on a worker of the zone that joins during the evacuation. */
        @Test
        void avoidWorkersThatJoinDuringTheEvacuation() {
            evacuate();
            addWorker(3, Samples.ZONE, 0);
            addOutside();
            add(Samples.job(1, Samples.step(40, 1)));
            plan();

            assertThat(orders.starts).hasSize(16);
            assertThat(startsOn(OUTSIDE)).isEqualTo(16);
        }

        /** Guards against a gang of which one member is started in the zone. */
        @Test
        void ofAGangNeedRoomInOtherZonesForAllMembers() {
            evacuate();
            addOutside();
            add(Samples.job(1, Samples.gang(3, 8)));
            plan();
            assertThat(orders.starts).isEmpty();

            addWorker(3, Samples.OTHER_ZONE, 0);
            plan();
            assertThat(orders.starts).hasSize(3);
            assertThat(startsOn(INSIDE)).isZero();
        }

        /** Guards against starts in the zone by a new owner that releases the held jobs. */
        @Test
        void ofHeldJobsAvoidTheZone() {
            add(Samples.job(1, Samples.step(1, 1)));
            scheduler.holdRecoveredJobs();
            evacuate();
            plan();
            scheduler.releaseRecoveredJobs();
            plan();

            assertThat(orders.starts).isEmpty();
        }

        /** Guards against a second start in the zone of a task whose first one was not answered. */
        @Test
        void thatGotNoAnswerAreRepeatedElsewhere() {
            add(Samples.job(1, Samples.step(1, 1)));
            plan();
            RecordedOrders.Start first = orders.lastStart();
            evacuate();
            answer(first, OrderAnswer.UNKNOWN);
            confirmStop(first);
            now += 10;
            report(1, List.of(), List.of());
            plan();
            assertThat(orders.starts).hasSize(1);

            addOutside();
            plan();
            assertThat(startsOn(OUTSIDE)).isEqualTo(1);
        }
    }

    @Nested
    final class RunningTasks {
        /** Guards against lost work: a task that ends by itself is not stopped. */
        @Test
        void runToCompletionIfTheyEndByThemselves() {
            startOneTask();
            confirm(orders.lastStart());
            addOutside();
            evacuate();
            plan();

            assertThat(orders.stops).isEmpty();
        }

        /** Guards against more unavailable tasks of a step than its budget permits (BUDGET). */
        @Test
        void areRestartedElsewhereWithinTheBudgetOfTheirStep() {
            serveInside(3, 1, 1);
            evacuate();
            for (int moved = 1; moved <= 3; moved++) {
                plan();
                assertThat(orders.stops).hasSize(moved);
                endStopped();
                plan();
                assertThat(startsOn(OUTSIDE)).isEqualTo(moved);
                confirm(orders.lastStart());
                now += 10;
                reportRunning(2, 50);
                plan();
                assertThat(orders.stops).as("the last one does not serve yet").hasSize(moved);
                reportRunning(2, 100);
            }
            plan();

            assertThat(orders.stops).hasSize(3);
            assertThat(startsOn(INSIDE)).isEqualTo(3);
            assertThat(scheduler.lastingTasksInEvacuatedZones()).isZero();
        }

        /** Guards against a service that is stopped although no other zone has room for it. */
        @Test
        void stayIfNoOtherZoneHasRoom() {
            serveInside(1, 10, 1);
            add(Samples.job(2, Samples.step(1, 10)));
            plan();
            assertThat(startsOn(OUTSIDE)).isEqualTo(1);
            evacuate();
            plan();

            assertThat(orders.stops).isEmpty();
            assertThat(scheduler.lastingTasksInEvacuatedZones()).isEqualTo(1);
        }

        /**
         * Guards against two services that are stopped for the same room, and against other tasks
         * that take it before the stop is reported.
         */
        @Test
        void keepTheRoomThatTheyAreStoppedFor() {
            serveInside(2, 8, 0);
            add(Samples.job(2, Samples.step(1, 8)));
            evacuate();
            scheduler.holdRecoveredJobs();
            plan();
            assertThat(orders.stops).as("a held job is not started again").isEmpty();
            scheduler.releaseRecoveredJobs();
            plan();
            assertThat(orders.stops).hasSize(2);
            assertThat(startsOn(OUTSIDE)).isZero();

            endStopped();
            plan();
            assertThat(orders.lastStart().order().task()).isEqualTo(orders.stops.get(1).task());
            assertThat(startsOn(OUTSIDE)).isEqualTo(1);
        }

        /** Guards against stops for more services than the other zones have room for. */
        @Test
        void areNotStoppedForTheSameRoom() {
            serveInside(2, 8, 0);
            add(Samples.job(2, Samples.step(1, 8)));
            plan();
            evacuate();
            plan();

            assertThat(orders.stops).hasSize(1);
        }

        /** Guards against a stop while another task of the step may have ended with its worker. */
        @Test
        void stayWhileAnotherTaskOfTheStepIsUnavailable() {
            serveInside(2, 1, 1);
            scheduler.setUnresponsive(INSIDE, true, now);
            addWorker(3, Samples.OTHER_ZONE, 0);
            evacuate();
            plan();

            assertThat(orders.stops).isEmpty();
        }
    }

    @Nested
    final class Restoration {
        /** Guards against a cold worker that gets as many starts as a warm one at once. */
        @Test
        void givesColdWorkersTheirTasksGradually() {
            evacuate();
            addWorker(1, Samples.ZONE, 10_000);
            restore();
            add(Samples.job(1, Samples.step(30, 1)));
            plan();
            assertThat(startsOn(INSIDE)).isEqualTo(4);

            now += 5_000;
            plan();
            assertThat(startsOn(INSIDE)).isEqualTo(8);

            now += 5_000;
            plan();
            assertThat(startsOn(INSIDE)).isEqualTo(16);
        }

        /** Guards against a deployment without evacuations whose cold workers are not used. */
        @Test
        void doesNotLimitColdWorkersThatJustStarted() {
            addWorker(1, Samples.ZONE, 10_000);
            add(Samples.job(1, Samples.step(30, 1)));
            plan();

            assertThat(startsOn(INSIDE)).isEqualTo(16);
        }
    }
}
