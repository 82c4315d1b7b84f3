package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceCalls;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.instance.WaveRequest;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.PoolPolicy;
import org.quetzalscale.core.schedule.QueuePolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.StepProgress;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;

/**
 * Owners with an in-memory table and one worker, from the submission of a job to its recorded end.
 */
final class OwnerServiceTest {
    private static final PoolId POOL = new PoolId("lab");
    private static final QueueId QUEUE = new QueueId("quick");
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final TaskRef FIRST = new TaskRef(JOB, 0, 0, 0);
    private static final TaskRef SECOND = new TaskRef(JOB, 0, 1, 0);
    private static final InstanceId IDLE_INSTANCE = new InstanceId("m-2");
    private static final Optional<String> ONE_WAITING = Optional.of("{\"quick\":1}");
    private static final long TIMEOUT_MILLIS = 20_000;

    private final InMemoryFeedTable table = new InMemoryFeedTable();
    private final FakeWorker worker = new FakeWorker();
    private final Instances instances = new Instances();
    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final LoopClock clock =
            new LoopClock(group.next(), TimeSource.system(), System::currentTimeMillis);
    private final JobGateway gateway = new JobGateway(table, clock, () -> false);

    /** The policy watcher and owner service of one node. */
    private final class Node {
        final PolicyWatcher policies = new PolicyWatcher(table, clock, operatorRows());
        final OwnerService owner;

        Node(String name) {
            owner = new OwnerService(context(name), policies, new OwnerPreference(1));
            run(policies::start);
            run(owner::start);
        }

        void stop() {
            run(owner::stop);
            run(policies::stop);
        }

        /** Stops without releasing the lease, as a killed process does. */
        void kill() {
            run(policies::stop);
            run(owner::stopWithoutRelease);
        }
    }

    private static final class Instances implements InstanceCalls {
        /** An instance without a worker. */
        volatile Optional<InstanceId> idle = Optional.empty();

        @Override
        public CompletionStage<List<FleetInstance>> list() {
            return CompletableFuture.completedFuture(
                    idle.map(id -> List.of(withWorker(), instance(id, Optional.empty())))
                            .orElse(List.of(withWorker())));
        }

        private static FleetInstance withWorker() {
            return instance(new InstanceId("m-1"), Optional.of(new WorkerId("i-1")));
        }

        private static FleetInstance instance(InstanceId id, Optional<WorkerId> worker) {
            return new FleetInstance(id, POOL, InstanceState.UP, "", worker);
        }

        @Override
        public CompletionStage<InstanceAnswer> move(InstanceId id, PoolId pool, long fence) {
            return CompletableFuture.completedFuture(InstanceAnswer.BUSY);
        }

        @Override
        public CompletionStage<InstanceAnswer> maintain(InstanceId id, long wave, long fence) {
            return CompletableFuture.completedFuture(InstanceAnswer.BUSY);
        }
    }

    @BeforeEach
    void configure() {
        table.put("op//config", "policy");
        table.put("servers//i-1", "entry");
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static PolicyWatcher.OperatorRows operatorRows() {
        FleetPolicy policy =
                new FleetPolicy(
                        1,
                        List.of(),
                        Map.of(QUEUE, new QueuePolicy(QUEUE, POOL, 0, 3, 1.6, 600, true)),
                        Map.of(POOL, new PoolPolicy(POOL, false)),
                        Map.of(),
                        Map.of());
        return new PolicyWatcher.OperatorRows(
                "op",
                "op//",
                new RowKey("op//config"),
                "op//wave/",
                text -> policy,
                text -> new WaveRequest(1, List.of(IDLE_INSTANCE), 60_000, 1));
    }

    private FleetContext context(String name) {
        return new FleetContext(
                new InstanceId(name),
                clock,
                table,
                worker,
                new FleetContext.WorkerRows(
                        "servers", "servers//", (id, text) -> OwnerServiceTest.entry(id)),
                instances,
                new FleetContext.WaveStatusRows(
                        number -> new RowKey("status//wave/" + number),
                        (number, done) -> done ? "completed" : "open"),
                new FleetContext.Times(3_000, 2_000, 120_000),
                new FleetMetrics());
    }

    private static WorkerEntry entry(String id) {
        return new WorkerEntry(
                new WorkerId(id),
                POOL,
                new ZoneId("z"),
                new InetSocketAddress("127.0.0.1", 1),
                new Resources(8, 1_000, 0, 0),
                List.of("a", "r"),
                "r",
                false,
                0,
                1);
    }

    private static JobDefinition job() {
        return job(JOB);
    }

    private static JobDefinition job(JobId id) {
        StepDefinition first = Steps.ending(1, 1, List.of());
        StepDefinition second = Steps.ending(1, 1, List.of(0));
        return job(id, List.of(first, second));
    }

    private static JobDefinition job(JobId id, List<StepDefinition> steps) {
        return new JobDefinition(
                id,
                QUEUE,
                POOL,
                Optional.empty(),
                System.currentTimeMillis(),
                "spec",
                steps,
                Recurrence.NONE);
    }

    private void run(Runnable action) {
        clock.loop().execute(action);
    }

    private void submit() {
        submit(job());
    }

    private void submit(JobDefinition job) {
        gateway.submit(job, clock.nowMillis() + 1_000).toCompletableFuture().join();
    }

    private Optional<JobPhase> phase() {
        return gateway.phase(JOB, clock.nowMillis() + 1_000).toCompletableFuture().join();
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() / 1_000_000L + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() / 1_000_000L).as(what).isLessThan(deadline);
            java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
        }
    }

    /** Guards against a job that is shown as completed before its end is recorded, or never. */
    @Test
    void runsAJobOnceAndRecordsItsEnd() {
        Node node = new Node("node-1");
        submit();
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        assertThat(phase()).contains(JobPhase.QUEUED);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        worker.end(SECOND, RunEnd.DONE);

        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        await("acknowledgement", () -> worker.acknowledged() == 2);
        assertThat(worker.starts).hasSize(2);
        node.stop();
    }

    /**
     * Guards against a second run of a task that a killed owner had started or whose end it had
     * recorded.
     */
    @Test
    void continuesAfterTheOwnerWasKilled() {
        Node first = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        first.kill();

        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        await("recorded", () -> worker.acknowledged() == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        assertThat(worker.starts).hasSize(2);
        second.stop();
    }

    /** Guards against an end that is acknowledged while it cannot be recorded. */
    @Test
    void acknowledgesNothingWhileTheStoreIsUnavailable() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        table.unavailable = true;
        worker.end(FIRST, RunEnd.DONE);
        await("the next step starts nevertheless", () -> worker.startsOf(SECOND) == 1);
        assertThat(worker.acknowledged()).isZero();

        table.unavailable = false;
        await("acknowledgement", () -> worker.acknowledged() == 1);
        node.stop();
    }

    /**
     * Guards against an older record that overwrites a newer one: a write without an answer may be
     * carried out later, and the next owner would start again what is done.
     */
    @Test
    void keepsTheNewestRecordWhenAWriteIsLate() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        table.holdNext("progress/");
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        await("first end recorded", () -> worker.acknowledged() == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));

        table.releaseHeld();

        assertThat(phase()).contains(JobPhase.COMPLETED);
        node.stop();
    }

    /**
     * Guards against a completed wave that is shown as open for ever, and from which the next owner
     * would begin again, because an older record without an answer was carried out after the last
     * one.
     */
    @Test
    void keepsTheNewestRecordOfAWaveWhenAWriteIsLate() {
        table.put("op//wave/1", "wave");
        table.holdNext(FleetRows.wave(1).value());
        instances.idle = Optional.of(IDLE_INSTANCE);
        Node node = new Node("node-1");
        await("second record", () -> textOf("status//wave/1").equals(Optional.of("open")));
        instances.idle = Optional.empty();
        await("completion", () -> textOf("status//wave/1").equals(Optional.of("completed")));

        run(table::releaseHeld);
        onLoop(() -> true);

        assertThat(textOf("status//wave/1")).contains("completed");
        assertThat(textOf(FleetRows.wave(1).value())).contains("[\"m-2\"]");
        node.stop();
    }

    /**
     * Guards against a number of waiting jobs that stays wrong until it changes again, because an
     * older one was written after it.
     */
    @Test
    void keepsTheNewestNumberOfWaitingJobsWhenAWriteIsLate() {
        table.holdNext(FleetRows.WAITING.value());
        Node node = new Node("node-1");
        await("second record", () -> textOf(FleetRows.WAITING.value()).isPresent());
        StepDefinition tooLarge = Steps.ending(1, 100, List.of());
        submit(job(JOB, List.of(tooLarge)));
        await("record", () -> textOf(FleetRows.WAITING.value()).equals(ONE_WAITING));

        run(table::releaseHeld);
        onLoop(() -> true);

        assertThat(textOf(FleetRows.WAITING.value())).isEqualTo(ONE_WAITING);
        node.stop();
    }

    private Optional<String> textOf(String key) {
        return table.read(new RowKey(key)).toCompletableFuture().join().map(Row::value);
    }

    /**
     * Guards against a second run of a job that ended under an earlier owner: an owner reads all
     * jobs again when the table drops its history.
     */
    @Test
    void leavesEndedJobsAloneWhenTheHistoryIsDropped() {
        Node first = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        first.kill();
        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        JobId later = new JobId("00000000000000ab");
        submit(job(later));
        await("a later job", () -> worker.startsOf(new TaskRef(later, 0, 0, 0)) == 1);

        table.dropHistory();
        await("readers read all rows again", () -> table.refusedReaders > 0);
        JobId last = new JobId("00000000000000ac");
        submit(job(last));
        await("a job after that", () -> worker.startsOf(new TaskRef(last, 0, 0, 0)) == 1);

        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        second.stop();
    }

    /**
     * Guards against an owner that loads forever or stops reading because of one row: a record of a
     * task that its job does not have, and a job that cannot be read.
     */
    @Test
    void servesOtherJobsBesideRowsThatCannotBeApplied() {
        JobId broken = new JobId("00000000000000ad");
        submit(job(broken));
        table.put(
                FleetRows.progress(broken).value(),
                JobRowCodecs.PROGRESS.encode(
                        new JobProgress(
                                broken,
                                JobPhase.RUNNING,
                                List.of(
                                        new StepProgress(
                                                0,
                                                0,
                                                new BitSet(),
                                                Map.of(9, Set.of(1L)),
                                                Map.of(),
                                                Map.of())))));
        Node node = new Node("node-1");
        submit();
        await("a job beside the broken record", () -> worker.startsOf(FIRST) == 1);

        table.put(FleetRows.job(new JobId("00000000000000ae")).value(), "not a job");
        JobId later = new JobId("00000000000000af");
        submit(job(later));
        await("a job after it", () -> worker.startsOf(new TaskRef(later, 0, 0, 0)) == 1);
        node.stop();
    }

    /** A job whose first step is done and recorded, and whose second step runs. */
    private void runToTheSecondStep() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        await("recorded", () -> worker.acknowledged() == 1);
        node.kill();
    }

    private String progressRow() {
        return table.read(FleetRows.progress(JOB))
                .toCompletableFuture()
                .join()
                .orElseThrow()
                .value();
    }

    /** Awaits the start of a job that was recorded before the owner's term, and of a new one. */
    private void awaitOtherJobs(String recorded, String added) {
        await("a recorded job", () -> worker.startsOf(firstTask(recorded)) == 1);
        submit(job(new JobId(added)));
        await("a new job", () -> worker.startsOf(firstTask(added)) == 1);
    }

    private static TaskRef firstTask(String job) {
        return new TaskRef(new JobId(job), 0, 0, 0);
    }

    /**
     * Guards against the repetition of work that has run: a job whose record cannot be read looks
     * like a new one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"id\":\"00000000000000aa\"",
                "{\"id\":\"00000000000000aa\",\"phase\":\"QUEUED\"}",
                "{\"id\":\"00000000000000ff\",\"phase\":\"QUEUED\",\"steps\":[]}",
                "{\"id\":\"00000000000000aa\",\"phase\":\"QUEUED\","
                        + "\"steps\":[{\"done\":[],\"failures\":{\"9\":[1]}}]}"
            })
    void holdsAJobWhoseProgressCannotBeRead(String text) {
        runToTheSecondStep();
        table.put(FleetRows.progress(JOB).value(), text);
        submit(job(new JobId("00000000000000b0")));
        Node second = new Node("node-2");
        awaitOtherJobs("00000000000000b0", "00000000000000b1");
        table.dropHistory();
        await("readers read all rows again", () -> table.refusedReaders > 0);
        submit(job(new JobId("00000000000000b2")));
        await("a later job", () -> worker.startsOf(firstTask("00000000000000b2")) == 1);

        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        assertThat(worker.startsOf(SECOND)).isEqualTo(1);
        FleetStatus status =
                new FleetStatus(new InstanceId("node-2"), clock, second.policies, second.owner);
        assertThat(onLoop(() -> status.job(JOB).orElseThrow()).path("steps").get(0).path("reason"))
                .hasToString("\"progress_unreadable\"");
        second.stop();
    }

    /**
     * Guards against a repaired record that is ignored or was overwritten, and against the loss of
     * ends that workers reported before the repair.
     */
    @Test
    void continuesAJobWhoseProgressWasRepaired() {
        runToTheSecondStep();
        String recorded = progressRow();
        table.put(FleetRows.progress(JOB).value(), "");
        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        worker.end(SECOND, RunEnd.DONE);
        await("recorded", () -> worker.acknowledged() == 2);
        assertThat(progressRow()).isEmpty();
        assertThatThrownBy(this::phase).hasMessageContaining(FleetRows.progress(JOB).value());
        table.put(FleetRows.progress(JOB).value(), recorded);
        second.stop();

        submit(job(new JobId("00000000000000b0")));
        Node third = new Node("node-3");
        awaitOtherJobs("00000000000000b0", "00000000000000b1");
        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        assertThat(worker.startsOf(SECOND)).isEqualTo(1);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        third.stop();
    }

    /** Guards against a status for operators that is missing or differs from the owner's state. */
    @Test
    void showsOperatorsTheFleetAndAJob() {
        Node node = new Node("node-1");
        FleetStatus status =
                new FleetStatus(new InstanceId("node-1"), clock, node.policies, node.owner);
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);

        JsonNode fleet = onLoop(status::instance);
        assertThat(fleet.path("owner").asBoolean()).isTrue();
        assertThat(fleet.path("pools").get(0).path("tasks").asInt()).isEqualTo(1);
        assertThat(fleet.path("queues").get(0).path("running").asInt()).isEqualTo(1);
        JsonNode steps = onLoop(() -> status.job(JOB).orElseThrow()).path("steps");
        assertThat(steps.get(0).path("running").asInt()).isEqualTo(1);
        assertThat(steps.get(1).path("reason").asText()).isEqualTo("earlier_steps");
        node.stop();
        await("the end of the term", () -> !node.owner.isOwner());
        assertThat(onLoop(() -> status.job(JOB))).isEmpty();
    }

    private <T> T onLoop(Callable<T> read) {
        try {
            return clock.loop().submit(read).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against waiting for a lease to expire that its owner has released. */
    @Test
    void ownsTheFleetSoonAfterAPlannedStop() {
        Node first = new Node("node-1");
        await("ownership", first.owner::isOwner);
        first.stop();

        Node second = new Node("node-2");
        long begun = clock.nowMillis();
        await("takeover", second.owner::isOwner);
        assertThat(clock.nowMillis() - begun).isLessThan(1_500);
        second.stop();
    }
}
