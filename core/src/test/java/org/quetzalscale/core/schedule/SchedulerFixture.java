package org.quetzalscale.core.schedule;

import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.WorkerReport;

/** Base class of tests with a scheduler, recorded orders and a manual clock. */
abstract class SchedulerFixture {
    static final double NO_CAP = 0;

    final RecordedOrders orders = new RecordedOrders();
    FleetScheduler scheduler;
    long now = 1_000;

    SchedulerFixture(FleetPolicy policy) {
        scheduler = new FleetScheduler(policy, orders, 0);
    }

    /** Registers a worker and reports that it runs nothing. */
    final void addWorker(int worker) {
        scheduler.registerWorker(Samples.worker(worker), now);
        report(worker, List.of(), List.of());
    }

    final void report(int worker, List<RunningTask> running, List<FinishedRun> ends) {
        scheduler.handleReport(
                Samples.workerId(worker), new WorkerReport(now, 1, running, ends), ends, now, now);
    }

    final void add(JobDefinition job) {
        scheduler.addJob(job, Optional.empty(), now, now);
    }

    final void plan() {
        scheduler.plan(now, 0);
    }

    /** Starts the only task of job 1, on worker 1 unless other workers were added before. */
    final RecordedOrders.Start startOneTask() {
        addWorker(1);
        add(Samples.job(1, Samples.step(1, 1)));
        plan();
        return orders.lastStart();
    }

    final void confirm(RecordedOrders.Start start) {
        answer(start, OrderAnswer.ACCEPTED);
    }

    final void answer(RecordedOrders.Start start, OrderAnswer answer) {
        scheduler.startAnswered(
                start.worker(), start.order().task(), start.order().run(), answer, now);
    }

    final void confirmStop(RecordedOrders.Start start) {
        scheduler.stopAnswered(
                start.worker(),
                start.order().task(),
                start.order().run(),
                OrderAnswer.ACCEPTED,
                now);
    }

    static RunningTask running(RecordedOrders.Start start) {
        return running(start, 100);
    }

    static RunningTask running(RecordedOrders.Start start, int percent) {
        return new RunningTask(start.order().task(), start.order().run(), "", percent, 0);
    }

    static FinishedRun end(long number, RecordedOrders.Start start, RunEnd how) {
        return new FinishedRun(number, start.order().task(), start.order().run(), how, "");
    }
}
