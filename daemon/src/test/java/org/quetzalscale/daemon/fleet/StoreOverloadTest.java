package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.task.JobDefinition;

/** Thirty instances submit jobs while the store is 34 times slower for three seconds. */
final class StoreOverloadTest {
    private static final int INSTANCES = 30;
    private static final int SUBMISSION_INTERVAL_MILLIS = 1_000 / 60;
    private static final long DEADLINE_MILLIS = 2_900;
    private static final long SLOWNESS = 34;
    private static final long FIRST_SUBMISSION_MILLIS = 4_000;
    private static final long SLOW_FROM_MILLIS = 6_000;
    private static final long SLOW_UNTIL_MILLIS = 9_000;
    private static final long LAST_SUBMISSION_MILLIS = 11_000;
    private static final long END_MILLIS = 15_000;
    private static final long PROGRESS_INTERVAL_MILLIS = 50;
    private static final RowKey EPOCH = RowKey.of("lease", FleetRows.SHARD, "epoch");

    private final VirtualLoop loop = new VirtualLoop();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<ErrorKind, Integer> failures = new EnumMap<>(ErrorKind.class);
    private final Map<String, Long> slowestMillis = new HashMap<>();
    private final List<JobId> accepted = new ArrayList<>();
    private QueuedStore store;
    private long withoutOwnerMillis;

    /** An instance that accepts jobs and competes for the lease. */
    private final class Node {
        final SimulatedProcess process = new SimulatedProcess(loop);
        final FeedTable table;
        final OwnerService owner;
        final JobGateway gateway;

        Node(int number) {
            LoopClock clock =
                    new LoopClock(
                            loop.executor(process::run),
                            loop::nowMillis,
                            () -> SimulatedJobs.EPOCH_MILLIS + loop.nowMillis());
            CallRetryBudget budget = new CallRetryBudget();
            table = store.clientFor(process, budget);
            PolicyWatcher policies =
                    new PolicyWatcher(table, clock, OwnerFixture.operatorRows(Map.of()));
            owner =
                    new OwnerService(
                            context("node-" + number, clock), policies, new OwnerPreference(1));
            gateway = new JobGateway(table, clock, () -> false, budget, count -> {});
            loop.after(
                    10 * number,
                    () -> {
                        policies.start();
                        owner.start();
                    });
        }

        private FleetContext context(String name, LoopClock clock) {
            LastingTaskHistory lasting = new LastingTaskHistory(loop, 1);
            RunHistory history = new RunHistory(1, lasting);
            SimulatedInstances instances =
                    new SimulatedInstances(
                            loop, history, SimulatedJobs.POOL, (id, worker) -> worker);
            return new FleetContext(
                    new InstanceId(name),
                    clock,
                    table,
                    new SimulatedCalls(
                            loop,
                            new Random(1),
                            process,
                            Map.of(),
                            task -> 1,
                            new SimulatedCalls.CallFaults()),
                    new FleetContext.WorkerRows(
                            "servers", "servers//", (id, text) -> OwnerFixture.entry(id)),
                    instances.clientFor(process),
                    new FleetContext.WaveStatusRows(
                            wave -> new RowKey("status//wave/" + wave), (wave, done) -> ""),
                    new FleetContext.Times(3_000, 2_000, 120_000),
                    new FleetMetrics());
        }

        boolean owns() {
            return process.isAlive() && owner.isOwner();
        }

        /** Writes progress as an owner does: one transaction after the other. */
        void recordProgress() {
            if (!owns()) {
                loop.after(PROGRESS_INTERVAL_MILLIS, this::recordProgress);
                return;
            }
            table.commit(Transaction.builder().put(FleetRows.LAST_RECORD, "").build())
                    .whenComplete(
                            (result, failure) ->
                                    loop.after(PROGRESS_INTERVAL_MILLIS, this::recordProgress));
        }
    }

    private void run(Function<RowKey, String> partitionOf, Predicate<String> isSlow) {
        store = new QueuedStore(loop, partitionOf);
        store.put("op//config", "policy");
        for (int number = 0; number < INSTANCES; number++) {
            nodes.add(new Node(number));
        }
        nodes.forEach(Node::recordProgress);
        loop.after(
                SLOW_FROM_MILLIS - loop.nowMillis(),
                () -> store.slowness = part -> isSlow.test(part) ? SLOWNESS : 1);
        loop.after(SLOW_UNTIL_MILLIS - loop.nowMillis(), () -> store.slowness = partition -> 1);
        Random random = new Random(7);
        for (long at = FIRST_SUBMISSION_MILLIS;
                at < LAST_SUBMISSION_MILLIS;
                at += SUBMISSION_INTERVAL_MILLIS) {
            JobId id = new JobId(String.format("%016x", random.nextLong()));
            loop.after(at - loop.nowMillis(), () -> submit(id, random));
        }
        loop.after(FIRST_SUBMISSION_MILLIS - loop.nowMillis(), this::watchOwner);
        loop.runUntil(END_MILLIS);
        assertThat(accepted).as("accepted jobs are recorded").allMatch(this::isRecorded);
    }

    private boolean isRecorded(JobId id) {
        return store.row(FleetRows.job(id)).isPresent();
    }

    private void submit(JobId id, Random random) {
        List<Node> live = nodes.stream().filter(each -> each.process.isAlive()).toList();
        Node node = live.get(random.nextInt(live.size()));
        JobDefinition job = OwnerFixture.job(id);
        long start = loop.nowMillis();
        String partition = FleetRows.job(id).partition();
        node.gateway
                .submit(job, start + DEADLINE_MILLIS)
                .whenComplete(
                        (ok, failure) -> {
                            slowestMillis.merge(partition, loop.nowMillis() - start, Math::max);
                            if (failure == null) {
                                accepted.add(id);
                            } else {
                                failures.merge(
                                        QuetzalscaleException.from(failure).kind(),
                                        1,
                                        Integer::sum);
                            }
                        });
    }

    private void watchOwner() {
        if (nodes.stream().noneMatch(Node::owns)) {
            withoutOwnerMillis++;
        }
        loop.after(1, this::watchOwner);
    }

    private void killOwner() {
        nodes.stream().filter(Node::owns).forEach(node -> node.process.kill());
    }

    /** All rows of the fleet in the partition of the lease, as in earlier releases. */
    private static String onePartition(RowKey key) {
        return key.partition().startsWith(FleetRows.SHARD) ? FleetRows.SHARD : key.partition();
    }

    private static boolean isEven(String partition) {
        return partition.matches(FleetRows.SHARD + "-\\d*[02468]");
    }

    /**
     * Guards against submissions that fill the partition of the lease: with one partition for all
     * rows, the owner loses its lease and jobs are refused.
     */
    @Test
    void keepsTheLeaseAndAcceptsAllJobs() {
        run(RowKey::partition, partition -> true);
        assertThat(store.writesOf(EPOCH)).as("owners").isEqualTo(1);
        assertThat(withoutOwnerMillis).isZero();
        assertThat(failures).isEmpty();
        assertThat(store.refused).isZero();

        StoreOverloadTest old = new StoreOverloadTest();
        old.run(StoreOverloadTest::onePartition, partition -> true);
        assertThat(old.store.writesOf(EPOCH)).as("owners in one partition").isGreaterThan(1);
        assertThat(old.failures).isNotEmpty();
        assertThat(store.transactions).isLessThan(old.store.transactions);
    }

    /** Guards against a fleet without an owner until the store has recovered. */
    @Test
    void replacesAKilledOwnerWhileTheStoreIsSlow() {
        loop.after(SLOW_FROM_MILLIS + 500 - loop.nowMillis(), this::killOwner);
        run(RowKey::partition, partition -> true);
        assertThat(store.writesOf(EPOCH)).as("owners").isEqualTo(2);
        assertThat(withoutOwnerMillis).isLessThan(SLOW_UNTIL_MILLIS - SLOW_FROM_MILLIS);
        assertThat(failures).isEmpty();

        StoreOverloadTest old = new StoreOverloadTest();
        old.loop.after(SLOW_FROM_MILLIS + 500 - old.loop.nowMillis(), old::killOwner);
        old.run(StoreOverloadTest::onePartition, partition -> true);
        assertThat(withoutOwnerMillis).isLessThan(old.withoutOwnerMillis);
    }

    /** Guards against jobs that wait for partitions other than their own. */
    @Test
    void delaysOnlyTheJobsOfSlowPartitions() {
        run(RowKey::partition, StoreOverloadTest::isEven);
        assertThat(failures).isEmpty();
        slowestMillis.forEach(
                (partition, millis) -> {
                    if (isEven(partition)) {
                        assertThat(millis).isLessThan(DEADLINE_MILLIS);
                    } else {
                        assertThat(millis).as("one transaction in %s", partition).isLessThan(50);
                    }
                });
    }
}
