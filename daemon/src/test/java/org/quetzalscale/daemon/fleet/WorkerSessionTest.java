package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.lease.WorkerFence;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.schedule.OrderSender;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerCalls;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

final class WorkerSessionTest implements WorkerSession.Term, OrderSender {
    private static final long NEVER = 1_000_000;
    private static final TaskRef TASK = new TaskRef(new JobId("0000000000000001"), 0, 0, 0);
    private static final TaskRef OTHER_TASK = new TaskRef(new JobId("0000000000000001"), 0, 0, 1);

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final LoopClock clock = new LoopClock(loop, () -> 1_000, () -> 0);
    private final ScriptedCalls calls = new ScriptedCalls();
    private final FleetScheduler scheduler =
            new FleetScheduler(
                    new FleetPolicy(1, List.of(), Map.of(), Map.of(), Map.of(), Map.of()), this, 0);
    private final WorkerSession session =
            new WorkerSession(
                    this,
                    new FleetContext(
                            null, clock, null, calls, null, null, null, null, new FleetMetrics()),
                    entry(1),
                    new WorkerFence(7),
                    new WorkerLease(NEVER));

    private String fencedBy;
    private boolean failing;
    private boolean jobsLoaded = true;
    private long pauses;

    private static WorkerEntry entry(long startedEpochMillis) {
        return new WorkerEntry(
                new WorkerId("i-1"),
                new PoolId("lab"),
                new ZoneId("z"),
                new InetSocketAddress("127.0.0.1", 1),
                new Resources(4, 4, 0, 0),
                List.of(),
                "",
                false,
                0,
                startedEpochMillis);
    }

    /** The answers of a worker, in the order of the calls; a call without an answer stays open. */
    private static final class ScriptedCalls implements WorkerCalls {
        final List<CompletableFuture<WorkerReport>> renewals = new ArrayList<>();
        final List<Long> renewalFences = new ArrayList<>();
        final List<CompletableFuture<OrderAnswer>> starts = new ArrayList<>();
        final List<Long> acknowledged = new ArrayList<>();

        final List<Long> leases = new ArrayList<>();
        final List<Integer> waits = new ArrayList<>();

        @Override
        public CompletionStage<OrderAnswer> start(
                WorkerEntry worker, StartOrder order, long leaseClockMillis, long fence) {
            CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
            starts.add(answer);
            return answer;
        }

        @Override
        public CompletionStage<OrderAnswer> stop(
                WorkerEntry worker, TaskRef task, long run, long fence) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<OrderAnswer> pace(
                WorkerEntry worker, TaskRef task, long run, int percent, long fence) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<WorkerReport> renew(
                WorkerEntry worker,
                long leaseClockMillis,
                long number,
                int waitMillis,
                long fence) {
            CompletableFuture<WorkerReport> reply = new CompletableFuture<>();
            renewals.add(reply);
            leases.add(leaseClockMillis);
            renewalFences.add(fence);
            acknowledged.add(number);
            waits.add(waitMillis);
            return reply;
        }
    }

    @AfterEach
    void stop() {
        loop.shutdownNow();
    }

    @Override
    public FleetScheduler scheduler() {
        return scheduler;
    }

    @Override
    public void planSoon() {
        if (failing) {
            throw new IllegalStateException("unexpected");
        }
    }

    @Override
    public void fenced(String by) {
        fencedBy = by;
    }

    @Override
    public boolean ended() {
        return false;
    }

    @Override
    public boolean jobsLoaded() {
        return jobsLoaded;
    }

    @Override
    public long pauses() {
        return pauses;
    }

    @Override
    public void start(WorkerId worker, StartOrder order) {}

    @Override
    public void stop(WorkerId worker, TaskRef task, long run) {
        if (failing) {
            throw new IllegalStateException("unexpected");
        }
    }

    @Override
    public void pace(WorkerId worker, TaskRef task, long run, int percent) {}

    private static WorkerReport report(FinishedRun... finished) {
        return new WorkerReport(50, 1, List.of(), List.of(finished));
    }

    private static FinishedRun end(long number) {
        return new FinishedRun(number, TASK, number, RunEnd.DONE, "");
    }

    /**
     * Guards against a session that calls an unresponsive worker without a pause: each record of
     * other workers' finished runs triggered another call, which left the owner no time for
     * anything else.
     */
    @Test
    void doesNotCallAnUnresponsiveWorkerAtEachRecord() {
        session.call(() -> {});
        calls.renewals
                .get(0)
                .completeExceptionally(
                        new QuetzalscaleException(ErrorKind.TARGET_UNREACHABLE, "refused"));

        for (int i = 0; i < 100; i++) {
            session.recordedUpTo(session.seenCursor());
        }

        assertThat(calls.renewals).hasSize(1);
    }

    /**
     * Guards against a finished run that is acknowledged before it is recorded, which a later owner
     * would not learn of.
     */
    @Test
    void acknowledgesFinishedRunsOnlyAfterTheirRecord() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        WorkerSession.Cursor before = session.seenCursor();
        calls.renewals.get(1).complete(report(end(1)));
        session.recordedUpTo(before);
        assertThat(calls.renewals).hasSize(2);

        session.recordedUpTo(session.seenCursor());

        assertThat(calls.acknowledged).containsExactly(0L, 0L, 1L);
    }

    /**
     * Guards against former runs that are taken for known while a list of ends is cut (TWICE), and
     * against a rest that is read slowly, or never.
     */
    @Test
    void readsACutListToItsEndAsSoonAsItsPartsAreRecorded() {
        session.call(() -> {});
        calls.renewals.get(0).complete(cutReport());
        calls.renewals.get(1).complete(cutReport(end(1)));
        session.recordedUpTo(session.seenCursor());
        calls.renewals.get(2).complete(cutReport(end(2)));
        assertThat(session.formerRunsKnown(NEVER - 1)).isFalse();
        session.recordedUpTo(session.seenCursor());
        calls.renewals.get(3).complete(report(end(3)));

        assertThat(session.formerRunsKnown(NEVER - 1)).isTrue();
        assertThat(calls.acknowledged).containsExactly(0L, 0L, 1L, 2L);
        assertThat(calls.waits).containsExactly(0, 0, 0, 0);
    }

    private static WorkerReport cutReport(FinishedRun... finished) {
        return new WorkerReport(50, 1, List.of(), List.of(finished), false);
    }

    /**
     * Guards against a finished run that is acknowledged before it was seen (TWICE): a worker that
     * did not respond may have restarted, and then numbers its finished runs from 1 again.
     */
    @Test
    void acknowledgesNothingToAWorkerThatMayHaveRestarted() throws Exception {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        calls.renewals.get(1).complete(report(end(5)));
        session.recordedUpTo(session.seenCursor());
        failRenewal(2);
        failRenewal(3);

        assertThat(calls.acknowledged).containsExactly(0L, 0L, 5L, 0L, 0L);
    }

    /**
     * Guards against the same while the last answer of a worker's former incarnation is still on
     * its way, and its entry already shows the restart.
     */
    @Test
    void acknowledgesNothingToAWorkerWhoseEntryShowsARestart() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        calls.renewals.get(1).complete(report(end(5)));
        session.recordedUpTo(session.seenCursor());
        session.updateEntry(entry(2));
        calls.renewals.get(2).complete(report());

        assertThat(calls.acknowledged).containsExactly(0L, 0L, 5L, 0L);
    }

    /** Guards against the same after a pause of this process, in which the worker restarted. */
    @Test
    void acknowledgesNothingAfterAPauseUntilTheWorkerHasAnsweredAgain() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        calls.renewals.get(1).complete(report(end(5)));
        session.recordedUpTo(session.seenCursor());
        pauses++;
        calls.renewals.get(2).complete(report());
        calls.renewals.get(3).complete(report());

        assertThat(calls.acknowledged).containsExactly(0L, 0L, 5L, 0L, 5L);
    }

    /** Guards against the same after a report that did not tell when the worker was started. */
    @Test
    void acknowledgesNothingToARestartedWorkerAfterAReportWithoutItsStart() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        calls.renewals.get(1).complete(report(end(5)));
        session.recordedUpTo(session.seenCursor());
        calls.renewals.get(2).complete(new WorkerReport(50, 0, List.of(), List.of()));
        calls.renewals.get(3).complete(new WorkerReport(50, 2, List.of(), List.of()));

        assertThat(calls.acknowledged).containsExactly(0L, 0L, 5L, 5L, 0L);
    }

    /**
     * Guards against an acknowledgement that a restarted worker carries out late (TWICE): each
     * renewal without an answer is followed by a higher token, which rejects it.
     */
    @Test
    void raisesTheTokenAfterEachRenewalWithoutAnAnswer() throws Exception {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        failRenewal(1);
        failRenewal(2);

        List<Long> tokens = calls.renewalFences.subList(1, 4);
        assertThat(tokens).isSorted().doesNotHaveDuplicates();
    }

    /**
     * Guards against tasks that are never started again (LOST): their worker is gone for good, and
     * its instance stays listed as up.
     */
    @Test
    void extendsNoLeaseOfASilentWorkerWithoutAnEntry() throws Exception {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        failRenewal(1);
        session.deregister();
        failRenewal(2);

        assertThat(calls.leases.get(2)).as("silent, with an entry").isPositive();
        assertThat(calls.leases.get(3)).as("silent, without an entry").isZero();
    }

    private void failRenewal(int number) throws Exception {
        calls.renewals
                .get(number)
                .completeExceptionally(
                        new QuetzalscaleException(ErrorKind.TARGET_UNREACHABLE, "refused"));
        loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).get();
    }

    /**
     * Guards against a start that is carried out late, after the worker restarted and forgot the
     * stops: the first call with a higher token forbids it.
     */
    @Test
    void raisesTheFenceWhenAStartIsNotAnswered() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        session.send(new StartOrder(TASK, 1, "spec", ""));
        calls.starts.get(0).complete(OrderAnswer.UNKNOWN);
        calls.renewals.get(1).complete(report());

        assertThat(calls.renewalFences.get(2)).isGreaterThan(calls.renewalFences.get(1));
    }

    /**
     * Guards against an owner that gives up the fleet because a worker rejects an order that was
     * overtaken by one with a higher token of the same owner.
     */
    @Test
    void continuesWhenAWorkerRejectsATokenThatItRaisedSince() {
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        session.send(new StartOrder(TASK, 1, "spec", ""));
        session.send(new StartOrder(OTHER_TASK, 1, "spec", ""));
        calls.starts.get(0).complete(OrderAnswer.UNKNOWN);
        calls.starts.get(1).complete(OrderAnswer.FENCED);
        assertThat(fencedBy).isNull();

        session.send(new StartOrder(OTHER_TASK, 2, "spec", ""));
        calls.starts.get(2).complete(OrderAnswer.FENCED);
        assertThat(fencedBy).isEqualTo("i-1");
    }

    /** Guards against a start that is sent to an evacuated zone because it was queued before. */
    @Test
    void sendsNoQueuedStartsToAnEvacuatedZone() {
        for (int run = 1; run <= 8; run++) {
            session.send(new StartOrder(TASK, run, "spec", ""));
        }
        assertThat(calls.starts).hasSize(6);
        scheduler.updateEvacuatedZones(Set.of(entry(1).zone()));
        calls.starts.get(0).complete(OrderAnswer.ACCEPTED);
        assertThat(calls.starts).hasSize(6);

        scheduler.updateEvacuatedZones(Set.of());
        session.send(new StartOrder(OTHER_TASK, 1, "spec", ""));
        assertThat(calls.starts).hasSize(7);
    }

    /**
     * Guards against a session that ends at an unexpected error, and against the acknowledgement of
     * finished runs that the error kept from being recorded.
     */
    @Test
    void continuesAfterAnErrorWithoutAcknowledgingTheReport() throws Exception {
        session.call(() -> {});
        failing = true;
        calls.renewals.get(0).complete(report(end(1)));
        failing = false;
        session.recordedUpTo(session.seenCursor());
        assertThat(session.seenCursor().number()).isZero();

        loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).get();
        assertThat(calls.acknowledged).containsExactly(0L, 0L);
    }

    /**
     * Guards against leases that expire while an owner loads the jobs, and against ends of runs
     * that are lost because they were reported before the jobs were known.
     */
    @Test
    void renewsTheLeaseAndAppliesNoReportBeforeTheJobsAreLoaded() {
        jobsLoaded = false;
        session.call(() -> {});
        calls.renewals.get(0).complete(report(end(1)));
        assertThat(calls.leases.get(1)).isPositive();
        assertThat(session.formerRunsKnown(0)).isFalse();

        jobsLoaded = true;
        calls.renewals.get(1).complete(report(end(1)));
        session.recordedUpTo(session.seenCursor());
        assertThat(calls.acknowledged).containsExactly(0L, 0L, 1L);
        assertThat(session.formerRunsKnown(0)).isTrue();
    }

    /**
     * Guards against recovered jobs that wait for as long as one worker is silent, because calls
     * without answers prolong the lease of its unknown runs.
     */
    @Test
    void prolongsNoUnknownRunsOfASilentWorker() throws Exception {
        jobsLoaded = false;
        session.call(() -> {});
        calls.renewals.get(0).complete(report());
        calls.renewals
                .get(1)
                .completeExceptionally(
                        new QuetzalscaleException(ErrorKind.TARGET_UNREACHABLE, "refused"));
        loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).get();

        assertThat(calls.leases).hasSize(3);
        assertThat(calls.leases.get(2)).isZero();
    }

    /**
     * Guards against a second run of a task (TWICE): a report that could not be applied counted as
     * known, and the runs in it were prolonged for as long as it could not.
     */
    @Test
    void takesNoReportForAppliedThatCouldNotBe() throws Exception {
        scheduler.registerWorker(entry(1), 0);
        session.call(() -> {});
        failing = true;
        RunningTask running = new RunningTask(TASK, 1, "", 10, 0);
        calls.renewals.get(0).complete(new WorkerReport(50, 1, List.of(running), List.of()));
        loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).get();

        assertThat(session.formerRunsKnown(0)).isFalse();
        assertThat(scheduler.hasReported(new WorkerId("i-1"))).isFalse();
        assertThat(calls.leases.get(1)).isZero();
    }

    /** Guards against a session that ends without a word, and so against work that expires. */
    @Test
    void goesOnRenewingAfterAnUnexpectedException() throws Exception {
        session.call(
                () -> {
                    throw new IllegalStateException("unexpected");
                });
        calls.renewals.get(0).complete(report());
        loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).get();

        assertThat(calls.renewals).hasSize(2);
    }

    /** Guards against calls to a worker whose instance is gone while its entry remains. */
    @Test
    void distinguishesTheEntryOfAnEndedWorkerFromALaterOne() {
        session.end();

        assertThat(session.isOfEndedWorker(entry(1))).isTrue();
        assertThat(session.isOfEndedWorker(entry(2))).isFalse();
    }
}
