package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
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
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.OrganisationPolicy;
import org.quetzalscale.core.schedule.PoolPolicy;
import org.quetzalscale.core.schedule.QueuePolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;

/** Base class of tests of owners with an in-memory table and one worker. */
abstract class OwnerFixture {
    static final PoolId POOL = new PoolId("lab");
    static final QueueId QUEUE = new QueueId("quick");
    static final JobId JOB = new JobId("00000000000000aa");
    static final TaskRef FIRST = new TaskRef(JOB, 0, 0, 0);
    static final TaskRef SECOND = new TaskRef(JOB, 0, 1, 0);
    static final InstanceId IDLE_INSTANCE = new InstanceId("m-2");
    static final Optional<String> ONE_WAITING = Optional.of("{\"quick\":1}");
    static final long TIMEOUT_MILLIS = 20_000;

    final EventLoopGroup group = EventLoops.create(1, "test");
    final LoopClock clock =
            new LoopClock(group.next(), TimeSource.system(), System::currentTimeMillis);
    final InMemoryFeedTable table = new InMemoryFeedTable(clock.loop());
    final FakeWorker worker = new FakeWorker(clock.loop());
    final Instances instances = new Instances();
    final JobGateway gateway =
            new JobGateway(table, clock, () -> false, new CallRetryBudget(), count -> {});

    /** The policy watcher and owner service of one node. */
    final class Node {
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

    static final class Instances implements InstanceCalls {
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

    /** The organisations of the configuration. */
    Map<OrganisationId, OrganisationPolicy> organisations() {
        return Map.of();
    }

    private PolicyWatcher.OperatorRows operatorRows() {
        return operatorRows(organisations());
    }

    static PolicyWatcher.OperatorRows operatorRows(
            Map<OrganisationId, OrganisationPolicy> organisations) {
        FleetPolicy policy =
                new FleetPolicy(
                        1,
                        List.of(),
                        Map.of(QUEUE, new QueuePolicy(QUEUE, POOL, 0, 3, 1.6, 600, true)),
                        Map.of(POOL, new PoolPolicy(POOL, false)),
                        organisations,
                        Map.of());
        return new PolicyWatcher.OperatorRows(
                "op",
                "op//",
                new RowKey("op//config"),
                "op//wave/",
                "op//evacuate/",
                text -> policy,
                text -> new WaveRequest(1, List.of(IDLE_INSTANCE), 60_000, 1));
    }

    FleetContext context(String name) {
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

    static WorkerEntry entry(String id) {
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

    static JobDefinition job() {
        return job(JOB);
    }

    static JobDefinition job(JobId id) {
        StepDefinition first = Steps.ending(1, 1, List.of());
        StepDefinition second = Steps.ending(1, 1, List.of(0));
        return job(id, List.of(first, second));
    }

    static JobDefinition job(JobId id, List<StepDefinition> steps) {
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

    void run(Runnable action) {
        clock.loop().execute(action);
    }

    void submit() {
        submit(job());
    }

    void submit(JobDefinition job) {
        gateway.submit(job, clock.nowMillis() + 1_000).toCompletableFuture().join();
    }

    Optional<JobPhase> phase() {
        return gateway.phase(JOB, clock.nowMillis() + 1_000).toCompletableFuture().join();
    }

    static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() / 1_000_000L + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() / 1_000_000L).as(what).isLessThan(deadline);
            java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
        }
    }

    <T> T onLoop(Callable<T> read) {
        try {
            return clock.loop().submit(read).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }
}
