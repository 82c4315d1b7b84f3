package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.StepDefinition;

/** Runs whose workers report progress in whole percent once a second. */
final class StallDetectorTest extends SchedulerFixture {
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_RUNNING_PERCENT = 99;

    StallDetectorTest() {
        super(Samples.policy(NO_CAP));
    }

    /** A run as its worker carries it out. */
    private final class SimulatedRun {
        final RecordedOrders.Start start;
        private final long startMillis = now;
        private final long workMillis;
        private final long hangsAfterMillis;
        private final int firstPercent;

        SimulatedRun(RecordedOrders.Start start, long workMillis, long hangsAfterMillis) {
            this(start, workMillis, hangsAfterMillis, 0);
        }

        SimulatedRun(
                RecordedOrders.Start start,
                long workMillis,
                long hangsAfterMillis,
                int firstPercent) {
            this.start = start;
            this.workMillis = workMillis;
            this.hangsAfterMillis = hangsAfterMillis;
            this.firstPercent = firstPercent;
        }

        RunningTask row() {
            long worked = Math.min(now - startMillis, hangsAfterMillis);
            long percent = firstPercent + worked * 100 / workMillis;
            return running(start, (int) Math.min(MAX_RUNNING_PERCENT, percent));
        }

        boolean isDone() {
            long remaining = workMillis * (100 - firstPercent) / 100;
            return Math.min(now - startMillis, hangsAfterMillis) >= remaining;
        }

        boolean isStopped() {
            return orders.stops.stream().anyMatch(stop -> stop.run() == start.order().run());
        }

        /** Reports until the run is stopped or done. Returns how long that took. */
        long reportUntilOver() {
            while (!isStopped() && !isDone()) {
                now += REPORT_INTERVAL_MILLIS;
                if (!isDone()) {
                    report(1, List.of(row()), List.of());
                }
            }
            return now - startMillis;
        }
    }

    private static int number(RecordedOrders.Start start) {
        return start.worker().equals(Samples.workerId(1)) ? 1 : 2;
    }

    private RecordedOrders.Start startTask(long declaredMillis) {
        return startTask(Samples.declared(1, declaredMillis));
    }

    private RecordedOrders.Start startTask(StepDefinition step) {
        addWorker(1);
        add(Samples.job(1, step));
        plan();
        confirm(orders.lastStart());
        return orders.lastStart();
    }

    /** Reports the end of a stopped run, and starts the task again. */
    private RecordedOrders.Start restart(RecordedOrders.Start stopped, long endNumber) {
        confirmStop(stopped);
        now += 10;
        report(1, List.of(), List.of(end(endNumber, stopped, RunEnd.STOPPED)));
        now += 10_000;
        int before = orders.starts.size();
        plan();
        assertThat(orders.starts).hasSize(before + 1);
        confirm(orders.lastStart());
        return orders.lastStart();
    }

    /** Lets the task run until it is done. Returns how often it was started. */
    private int startsUntilDone(long declaredMillis, long workMillis) {
        RecordedOrders.Start start = startTask(declaredMillis);
        SimulatedRun run = new SimulatedRun(start, workMillis, NEVER);
        run.reportUntilOver();
        while (!run.isDone() && orders.starts.size() < 20) {
            start = restart(start, orders.starts.size());
            run = new SimulatedRun(start, workMillis, NEVER);
            run.reportUntilOver();
        }
        return orders.starts.size();
    }

    @Nested
    final class LongRuns {
        /** Guards against long tasks that are stopped between two percent and never end (LOST). */
        @ParameterizedTest
        @CsvSource({"300000, 300000", "20000, 300000", "1200000, 3600000"})
        void areLeftAlone(long declaredMillis, long workMillis) {
            assertThat(startsUntilDone(declaredMillis, workMillis)).isEqualTo(1);
        }

        /** Guards against tasks that never end because they declare far too little time. */
        @ParameterizedTest
        @CsvSource({"1000, 300000, 2", "0, 300000, 2", "1000, 3600000, 6"})
        void endAfterFewStarts(long declaredMillis, long workMillis, int starts) {
            assertThat(startsUntilDone(declaredMillis, workMillis)).isEqualTo(starts);
        }

        /** Guards against a new owner that throws away what a long task has done. */
        @Test
        void areLeftAloneByANewOwner() {
            RecordedOrders.Start start = startTask(20_000);
            scheduler = new FleetScheduler(Samples.policy(NO_CAP), orders, 1);
            add(Samples.job(1, Samples.declared(1, 20_000)));
            addWorker(2);
            scheduler.registerWorker(Samples.worker(1), now);
            SimulatedRun run = new SimulatedRun(start, 300_000, NEVER, 66);

            run.reportUntilOver();

            assertThat(run.isStopped()).isFalse();
        }

        /** Guards against a pace that is taken from a percent of which only the end was seen. */
        @Test
        void areNotJudgedByASinglePercent() {
            RecordedOrders.Start start = startTask(300_000);
            report(1, List.of(running(start, 66)), List.of());
            now += 100;
            report(1, List.of(running(start, 67)), List.of());
            now += 3_000;
            report(1, List.of(running(start, 67)), List.of());

            assertThat(orders.stops).isEmpty();
        }

        /** Guards against stopping a run whose checkpoints show that it works. */
        @Test
        void areLeftAloneWhileTheySaveCheckpoints() {
            RecordedOrders.Start start = startTask(1_000);
            for (int saved = 1; saved < 20; saved++) {
                now += REPORT_INTERVAL_MILLIS;
                RunningTask row =
                        new RunningTask(
                                start.order().task(), start.order().run(), "saved-" + saved, 0, 0);
                report(1, List.of(row), List.of());
            }

            assertThat(orders.stops).isEmpty();
        }
    }

    @Nested
    final class HungRuns {
        /** Guards against hung runs that are found too late. */
        @ParameterizedTest
        @CsvSource({
            // declared, work, hangs after, found after
            "1000, 1000, 0, 2000",
            "1000, 1000, 500, 2500",
            "66, 1000, 0, 2000",
            "66, 1000, 500, 2500",
            "300000, 300000, 0, 75000",
            "300000, 300000, 150000, 24000",
            "20000, 300000, 0, 5000",
            "20000, 300000, 150000, 24000",
        })
        void areFound(
                long declaredMillis, long workMillis, long hangsAfterMillis, long foundMillis) {
            RecordedOrders.Start start = startTask(declaredMillis);
            SimulatedRun run = new SimulatedRun(start, workMillis, hangsAfterMillis);

            assertThat(run.reportUntilOver() - hangsAfterMillis).isEqualTo(foundMillis);
        }

        /** Guards against a hung run that is judged by its declared time alone. */
        @Test
        void areFoundByThePaceOfTheirSiblings() {
            addWorker(1);
            add(Samples.job(1, Samples.declared(2, 300_000)));
            plan();
            orders.starts.forEach(StallDetectorTest.this::confirm);
            SimulatedRun moving = new SimulatedRun(orders.starts.get(0), 20_000, NEVER);
            SimulatedRun hung = new SimulatedRun(orders.starts.get(1), 20_000, 0);

            long startMillis = now;
            while (orders.stops.isEmpty()) {
                now += REPORT_INTERVAL_MILLIS;
                report(1, List.of(moving.row(), hung.row()), List.of());
            }

            assertThat(orders.stops).hasSize(1);
            assertThat(orders.stops.get(0).task()).isEqualTo(hung.start.order().task());
            assertThat(now - startMillis).isEqualTo(5_000);
        }

        /** Guards against lasting tasks whose stalled starts add up over their life. */
        @Test
        void areFoundSoonAgainOnceTheTaskHasServed() {
            RecordedOrders.Start start = startTask(Samples.lasting(1, 1, 0));
            new SimulatedRun(start, 1_000, 0).reportUntilOver();
            RecordedOrders.Start served = restart(start, 1);
            report(1, List.of(running(served, 100)), List.of());
            now += 1_000;
            report(1, List.of(), List.of(end(2, served, RunEnd.FAILED)));
            now += 1_000;
            plan();
            confirm(orders.lastStart());

            assertThat(new SimulatedRun(orders.lastStart(), 1_000, 0).reportUntilOver())
                    .isEqualTo(2_000);
        }

        /** Guards against a lasting task whose start-up hangs for a part of its declared time. */
        @Test
        void areFoundByTheShortStartUpOfLastingTasks() {
            RecordedOrders.Start start = startTask(Samples.lasting(1, 1, 0, 300_000));

            long foundMillis = new SimulatedRun(start, 1_000, 0).reportUntilOver();

            assertThat(foundMillis).isEqualTo(2_000);
        }
    }

    @Nested
    final class StoppedRuns {
        private RecordedOrders.Start stalled() {
            addWorker(2);
            RecordedOrders.Start start = startTask(1_000);
            now += 5_000;
            report(number(start), List.of(running(start, 0)), List.of());
            assertThat(orders.stops).hasSize(1);
            return start;
        }

        private void planForAMinute() {
            for (int second = 0; second < 60; second++) {
                now += 1_000;
                plan();
            }
        }

        /** Guards against a second run beside a stalled one whose stop was lost (TWICE). */
        @Test
        void areNotStartedAgainWithoutAnAnswerToTheStop() {
            stalled();

            planForAMinute();

            assertThat(orders.starts).hasSize(1);
            assertThat(orders.stops).hasSizeGreaterThan(1);
        }

        /** Guards against a second run beside a stalled one that is still being stopped (TWICE). */
        @Test
        void areNotStartedAgainWhileTheyAreListed() {
            RecordedOrders.Start start = stalled();
            confirmStop(start);
            plan();
            report(number(start), List.of(running(start, 0)), List.of());

            planForAMinute();

            assertThat(orders.starts).hasSize(1);
        }

        /** Guards against a second run that is started by a report from before the stop (TWICE). */
        @Test
        void areNotStartedAgainByAnEarlierReport() {
            RecordedOrders.Start start = stalled();
            long sentMillis = now;
            now += 10;
            confirmStop(start);
            scheduler.handleReport(start.worker(), Samples.reportOf(1), List.of(), sentMillis, now);

            planForAMinute();

            assertThat(orders.starts).hasSize(1);
        }

        /** Guards against a stalled run that is lost or started twice once it has ended. */
        @Test
        void areStartedAgainOnceTheyHaveEnded() {
            RecordedOrders.Start start = stalled();
            confirmStop(start);
            now += 10;
            report(number(start), List.of(), List.of(end(1, start, RunEnd.STOPPED)));

            planForAMinute();

            assertThat(orders.starts).hasSize(2);
            assertThat(orders.lastStart().worker()).isNotEqualTo(start.worker());
            assertThat(orders.lastStart().order().run()).isGreaterThan(start.order().run());
        }

        /** Guards against a task that is started again although its stalled run was done. */
        @Test
        void areNotStartedAgainIfTheyWereDone() {
            RecordedOrders.Start start = stalled();
            confirmStop(start);
            now += 10;
            report(number(start), List.of(), List.of(end(1, start, RunEnd.DONE)));

            planForAMinute();

            assertThat(orders.starts).hasSize(1);
        }
    }
}
