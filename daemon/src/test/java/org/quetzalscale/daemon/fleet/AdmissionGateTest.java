package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.schedule.AdmissionPolicy;
import org.quetzalscale.core.schedule.FleetMemory;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.LoadFigures;
import org.quetzalscale.core.schedule.OrganisationPolicy;
import org.quetzalscale.core.schedule.QueuePolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.Recurrence;

/** An instance that reads the load which an owner publishes, in virtual time. */
final class AdmissionGateTest {
    private static final OrganisationId ORGANISATION = new OrganisationId("coop");
    private static final long PUBLISH_MILLIS = 800;
    private static final long STALE_MILLIS = 2_000;
    private static final FleetPolicy POLICY =
            new FleetPolicy(
                    1,
                    List.of(),
                    Map.of(
                            OwnerFixture.QUEUE,
                            new QueuePolicy(
                                    OwnerFixture.QUEUE, OwnerFixture.POOL, 0, 3, 1.6, 600, true)),
                    Map.of(),
                    Map.of(
                            ORGANISATION,
                            new OrganisationPolicy(ORGANISATION, 0.1, 0.1, Resources.NONE)),
                    Map.of());

    private final VirtualLoop loop = new VirtualLoop();
    private final LoopClock clock =
            new LoopClock(loop.executor(Runnable::run), loop::nowMillis, loop::nowMillis);
    private final InMemoryFeedTable table = new InMemoryFeedTable();
    private final JobGateway gateway =
            new JobGateway(table, clock, () -> false, new CallRetryBudget(), count -> {});
    private final AdmissionGate gate =
            new AdmissionGate(new CountedReads(), clock, gateway, () -> 2, new FleetMetrics());
    private int reads;
    private int lastJob;
    private boolean publishing = true;
    private long heldMib;

    /** Counts the reads of the figures. */
    private final class CountedReads implements TransactionalTable {
        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            reads++;
            return table.read(key);
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return table.scan(prefix);
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return table.commit(transaction);
        }
    }

    @BeforeEach
    void publish() {
        if (publishing) {
            ObjectNode row = JsonNodeFactory.instance.objectNode().put("quick", 7);
            LoadRow.writeJobMib(heldMib, row);
            LoadRow.write(
                    new LoadFigures(
                            loop.nowMillis(),
                            Map.of(
                                    OwnerFixture.POOL,
                                    new LoadFigures.PoolLoad(
                                            new TreeMap<>(Map.of(0, 1.0)), 99, 10, 5, 0)),
                            Map.of(ORGANISATION, 0.0)),
                    row);
            table.put(FleetRows.WAITING.value(), row.toString());
            loop.after(PUBLISH_MILLIS, this::publish);
        }
    }

    private JobDefinition job() {
        return new JobDefinition(
                new JobId(String.format("%016x", ++lastJob)),
                OwnerFixture.QUEUE,
                OwnerFixture.POOL,
                Optional.of(ORGANISATION),
                loop.nowMillis(),
                "spec",
                List.of(Steps.ending(1, 1, List.of())),
                Recurrence.NONE);
    }

    private boolean isRefused(JobDefinition job) {
        CompletableFuture<Optional<AdmissionPolicy.Refusal>> checked =
                gate.check(job, POLICY, loop.nowMillis() + 2_000).toCompletableFuture();
        while (!checked.isDone()) {
            loop.runUntil(loop.nowMillis() + 10);
        }
        return checked.join().isPresent();
    }

    /** Sends a job every 50 ms, and returns how many were refused. */
    private int refusedIn(long millis) {
        int refused = 0;
        for (long end = loop.nowMillis() + millis; loop.nowMillis() < end; ) {
            refused += isRefused(job()) ? 1 : 0;
            loop.runUntil(loop.nowMillis() + 50);
        }
        return refused;
    }

    @Test
    void refusesExcessWhileTheOwnerPublishes() {
        refusedIn(2_000);

        assertThat(refusedIn(4_000)).isEqualTo(80);
    }

    /** Guards against refusals from the last figures of an owner that is gone. */
    @Test
    void acceptsWhenTheOwnerIsGone() {
        refusedIn(3_000);
        publishing = false;
        refusedIn(STALE_MILLIS + PUBLISH_MILLIS);

        assertThat(refusedIn(2_000)).isZero();
    }

    /** Guards against refusals from figures that were old when they were first read. */
    @Test
    void acceptsWhileTheAgeOfTheFiguresIsUnknown() {
        publishing = false;
        loop.runUntil(20_000);

        assertThat(refusedIn(5_000)).isZero();
    }

    @Test
    void acceptsWhileTheStoreIsUnavailable() {
        refusedIn(3_000);
        table.unavailable = true;
        refusedIn(STALE_MILLIS);

        assertThat(refusedIn(2_000)).isZero();
    }

    /** Guards against the refusal of a job that runs: its first answer was lost. */
    @Test
    void acceptsTheRetryOfARecordedSubmission() {
        JobDefinition elsewhere = job();
        gateway.submit(elsewhere, loop.nowMillis() + 1_000);
        JobDefinition here = job();
        assertThat(isRefused(here)).isFalse();
        refusedIn(3_000);

        assertThat(isRefused(elsewhere)).isFalse();
        assertThat(isRefused(here)).isFalse();
        assertThat(isRefused(job())).isTrue();
    }

    /** Guards against the refusal of a job of which the store does not tell whether it runs. */
    @Test
    void acceptsWhileItCannotTellWhetherAJobIsRecorded() {
        refusedIn(3_000);
        table.unavailable = true;
        CompletionStage<Optional<AdmissionPolicy.Refusal>> checked =
                gate.check(job(), POLICY, loop.nowMillis() + 2_000);
        loop.runUntil(loop.nowMillis() + 2_000);

        assertThat(checked.toCompletableFuture().join()).isEmpty();
    }

    /** Guards against a read for each submission, and against reads for nobody. */
    @Test
    void readsTheFiguresAboutOnceASecondWhileJobsArrive() {
        refusedIn(9_000);
        assertThat(reads).isBetween(9, 11);

        loop.runUntil(loop.nowMillis() + 5_000);
        int idle = reads;
        loop.runUntil(loop.nowMillis() + 60_000);
        assertThat(reads).isEqualTo(idle);
    }

    /** Guards against rows of an earlier release, which have numbers of queues only. */
    @Test
    void acceptsWithTheRowOfAnEarlierRelease() {
        publishing = false;
        for (int second = 0; second < 5; second++) {
            table.put(FleetRows.WAITING.value(), "{\"quick\":" + second + "}");
            assertThat(refusedIn(1_000)).isZero();
        }
    }

    /** A job with as much text as one may have. */
    private JobDefinition largeJob() {
        JobDefinition job = job();
        return new JobDefinition(
                job.id(),
                job.queue(),
                job.pool(),
                Optional.empty(),
                job.acceptedEpochMillis(),
                "x".repeat(4_000),
                Collections.nCopies(200, Steps.lasting(1, 1, 1)),
                Recurrence.NONE);
    }

    /** Guards against an owner that ends for want of memory, because callers submit more (LOST). */
    @Test
    void refusesJobsThatTheOwnerCannotHold() {
        heldMib = FleetMemory.MAX_MIB;
        isRefused(job());
        loop.runUntil(loop.nowMillis() + 2 * PUBLISH_MILLIS);
        assertThat(isRefused(largeJob())).isTrue();

        heldMib = 0;
        loop.runUntil(loop.nowMillis() + 4 * PUBLISH_MILLIS);
        assertThat(isRefused(largeJob())).isFalse();
    }

    /** Guards against a burst that is accepted before the owner has published any of it. */
    @Test
    void acceptsNoMoreThanItsPartBeforeTheOwnerCounts() {
        int accepted = 0;
        while (accepted < 1_000 && !isRefused(largeJob())) {
            accepted++;
        }
        long bytesOfTwoInstances = 2 * FleetMemory.bytes(largeJob());
        assertThat(accepted).isEqualTo((int) ((FleetMemory.MAX_MIB << 20) / bytesOfTwoInstances));
    }
}
