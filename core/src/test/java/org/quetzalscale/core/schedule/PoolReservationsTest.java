package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.StepDefinition;

/** One worker with 16 cores is full; the tasks of job 1 end after 300 ms, those of job 2 later. */
final class PoolReservationsTest extends SchedulerFixture {
    private static final int SHORT = 100;
    private static final int LONG = 5_000;

    private final List<String> events = new ArrayList<>();
    private final Map<JobId, RecordedOrders.Start> started = new HashMap<>();

    PoolReservationsTest() {
        super(Samples.policy(NO_CAP));
    }

    @BeforeEach
    void fillTheWorker() {
        LookAhead withoutSelection = new LookAhead(1, 100, 0.6, false);
        scheduler = new FleetScheduler(Samples.policy(NO_CAP), orders, 0, withoutSelection);
        scheduler.setReservationListener(new EventRecorder());
        addWorker(1);
        addTasks(1, 1, 8, 300);
        addTasks(2, 1, 8, LONG);
        start();
        assertThat(started).hasSize(2);
    }

    private void addTasks(int job, int count, double cores, long estimateMillis) {
        addTasks(job, count, cores, estimateMillis, false);
    }

    private void addTasks(int job, int count, double cores, long estimateMillis, boolean gang) {
        StepDefinition base = Samples.step(count, cores);
        add(
                Samples.job(
                        job,
                        new StepDefinition(
                                count,
                                base.need(),
                                estimateMillis,
                                List.of(),
                                false,
                                gang,
                                false,
                                Optional.empty(),
                                Optional.empty(),
                                0,
                                false,
                                0,
                                false,
                                0)));
    }

    private void start() {
        int before = orders.starts.size();
        plan();
        for (RecordedOrders.Start start : orders.starts.subList(before, orders.starts.size())) {
            answer(start, OrderAnswer.ACCEPTED);
            started.put(start.order().task().job(), start);
        }
    }

    private void end(int job) {
        end(job, RunEnd.DONE);
    }

    private void end(int job, RunEnd how) {
        report(
                1,
                started.values().stream()
                        .filter(start -> !start.order().task().job().equals(Samples.jobId(job)))
                        .map(SchedulerFixture::running)
                        .toList(),
                List.of(end(job, started.remove(Samples.jobId(job)), how)));
    }

    private boolean runs(int job) {
        return started.containsKey(Samples.jobId(job));
    }

    /** Leaves 4 of the 16 cores free, 12 from the end of job 1 on, in 300 ms. */
    private void freeFourCores() {
        scheduler.cancel(Samples.jobId(2), now);
        end(2, RunEnd.STOPPED);
        addTasks(3, 1, 4, LONG);
        start();
        assertThat(runs(3)).isTrue();
    }

    /** Guards against a large task that waits for as long as small ones behind it arrive. */
    @Test
    void keepLongTasksOffReservedCapacity() {
        freeFourCores();
        addTasks(4, 1, 12, 300);
        addTasks(5, 1, 3, LONG);
        start();
        assertThat(runs(5)).isFalse();

        end(1);
        start();
        assertThat(runs(4)).isTrue();
        assertThat(events).containsExactly("reserved 4", "used 4");
    }

    /** Guards against capacity that stays free although a task would end in time. */
    @Test
    void admitTasksThatEndBefore() {
        freeFourCores();
        addTasks(4, 1, 12, SHORT);
        now += 50;
        addTasks(5, 1, 3, SHORT);
        start();

        assertThat(runs(5)).isTrue();
        assertThat(events).containsExactly("reserved 4", "backfilled");
    }

    /** Guards against room that stands free for a step that its organisation's cap stops. */
    @Test
    void doNotServeStepsAboveTheCap() {
        freeFourCores();
        scheduler.updatePolicy(Samples.policy(20));
        addTasks(4, 1, 12, 300);
        addTasks(5, 1, 3, LONG);
        start();

        assertThat(runs(5)).isTrue();
        assertThat(events).isEmpty();
    }

    /** Guards against a gang that never finds room for all of its tasks at the same time. */
    @Test
    void serveAGangAsAWhole() {
        freeFourCores();
        addTasks(4, 2, 6, 300, true);
        addTasks(5, 1, 3, LONG);
        start();
        assertThat(runs(5)).isFalse();

        end(1);
        start();
        assertThat(runs(4)).isTrue();
    }

    /** Guards against reservations on workers that take no tasks any more. */
    @Test
    void leaveAWorkerThatDrains() {
        freeFourCores();
        addWorker(2);
        addTasks(6, 2, 8, 600);
        start();
        addTasks(4, 1, 12, 300);
        addTasks(5, 1, 3, LONG);
        start();
        assertThat(runs(5)).isFalse();

        scheduler.registerWorker(Samples.draining(2), now);
        now += 10;
        start();
        assertThat(runs(5)).isFalse();

        scheduler.registerWorker(Samples.draining(1), now);
        addWorker(3);
        start();
        assertThat(runs(4)).isTrue();
        assertThat(runs(5)).isTrue();
    }

    /** Guards against capacity that stays free for ever, because a run exceeds its estimate. */
    @Test
    void endWhenTheyArePostponedTooLong() {
        freeFourCores();
        addTasks(4, 1, 12, LONG);
        addTasks(5, 1, 3, 2 * LONG);
        for (int millis = 0; millis < 2_000; millis += 100) {
            start();
            assertThat(runs(5)).isFalse();
            now += 100;
        }
        now += 500;
        start();

        assertThat(runs(5)).isTrue();
        assertThat(events).containsExactly("reserved 4", "givenUp 4 POSTPONED");
    }

    /** Guards against a more urgent task that waits for the reservation of a less urgent one. */
    @Test
    void doNotBindMoreUrgentWork() {
        freeFourCores();
        addTasks(4, 1, 12, 300);
        addTasks(5, 1, 3, LONG);
        start();
        assertThat(runs(5)).isFalse();

        add(Samples.job(6, Samples.lasting(1, 3, 1)));
        start();

        assertThat(runs(6)).isTrue();
    }

    /** Guards against a reservation that outlives its job. */
    @Test
    void endWithTheirJob() {
        freeFourCores();
        addTasks(4, 1, 12, 300);
        addTasks(5, 1, 3, LONG);
        start();

        scheduler.cancel(Samples.jobId(4), now);
        start();

        assertThat(runs(5)).isTrue();
        assertThat(events).containsExactly("reserved 4", "givenUp 4 REPLACED");
    }

    /** Guards against a profile that counts capacity twice or misses when it becomes free. */
    @Test
    void expectCapacityWhenRunsEnd() {
        RunForecast forecast = new RunForecast(scheduler.estimator());
        WorkerState worker = scheduler.fleet().workers.get(Samples.workerId(1));
        Resources need = new Resources(6, 0, 0, 0);
        var claim = new WorkerProfile.Claim(new Resources(4, 0, 0, 0), now + 400, now + 700);

        WorkerProfile profile = new WorkerProfile(worker, List.of(claim), forecast, now);

        assertThat(profile.earliestFit(need, now, 50)).isEqualTo(now + 300);
        assertThat(profile.earliestFit(need, now, 200)).isEqualTo(now + 700);
    }

    private final class EventRecorder implements ReservationListener {
        @Override
        public void reserved(JobId job, int step, int tasks, long startsInMillis) {
            events.add("reserved " + Integer.parseInt(job.value(), 16));
        }

        @Override
        public void used(JobId job, int step) {
            events.add("used " + Integer.parseInt(job.value(), 16));
        }

        @Override
        public void givenUp(JobId job, int step, Cause cause) {
            events.add("givenUp " + Integer.parseInt(job.value(), 16) + " " + cause);
        }

        @Override
        public void backfilled() {
            events.add("backfilled");
        }
    }
}
