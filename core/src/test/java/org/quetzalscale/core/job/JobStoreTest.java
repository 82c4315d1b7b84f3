package org.quetzalscale.core.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

class JobStoreTest {
    private static final TeamId TEAM = new TeamId("orchard");
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final RowKey EPOCH = RowKey.of("lease", "jobs", "epoch");

    private final InMemoryTable table = new InMemoryTable();
    private final JobCodecs codecs =
            new JobCodecs(
                    new MemoryCodec<>(),
                    new MemoryCodec<>(),
                    new MemoryCodec<>(),
                    new MemoryCodec<>());
    private final JobStore store = new JobStore(table, codecs);
    private Lease lease = takeLease();

    private static JobSpec spec(String command) {
        return new JobSpec(TEAM, "", command, 2, 512, 0, 1, 1_000, false, 0, 0, 3);
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private Lease takeLease() {
        Transaction taken = Transaction.builder().put(EPOCH, "x").build();
        return new Lease(new Condition(EPOCH, join(table.commit(taken)).version()), 0);
    }

    private Optional<List<StoredJob>> commit(JobChange change) {
        return join(store.commit(lease, List.of(change), team -> 1));
    }

    private StoredJob submitted(String id) {
        join(store.submit(new JobId(id), spec("run " + id), 0));
        return join(store.openJobs()).stream()
                .filter(stored -> stored.job().id().value().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private StoredJob started(String id) {
        return commit(JobChange.start(submitted(id), WORKER)).orElseThrow().get(0);
    }

    private static TaskReport ended(StoredJob stored, TaskState state, long runMillis) {
        return new TaskReport(
                stored.job().task(), WORKER, state, runMillis, runMillis, 100, "", "");
    }

    private List<LedgerEntry> ledger() {
        return join(table.scan(LedgerEntry.PREFIX)).stream()
                .map(row -> codecs.ledger().decode(row.value()))
                .toList();
    }

    private int grantedUnits() {
        return join(store.limits()).get(TEAM).granted();
    }

    @Nested
    class Submission {
        @Test
        void submittedJobIsFoundByItsTeamOnly() {
            JobRow job = join(store.submit(new JobId("a"), spec("run"), 5));
            assertThat(join(store.find(TEAM, job.id()))).isEqualTo(job);
            assertThatThrownBy(() -> join(store.find(new TeamId("other"), job.id())))
                    .hasCauseInstanceOf(QuetzalscaleException.class)
                    .hasMessageContaining("there is no job a");
        }

        /**
         * Guards against a retried submission that creates a second job or restarts an ended one.
         */
        @Test
        void repeatedSubmissionReturnsTheJobEvenAfterItsEnd() {
            StoredJob running = started("a");
            commit(
                    JobChange.endAttempt(
                            running,
                            ended(running, TaskState.SUCCEEDED, 9),
                            JobState.SUCCEEDED,
                            ""));
            JobRow repeated = join(store.submit(new JobId("a"), spec("run a"), 50));
            assertThat(repeated.state()).isEqualTo(JobState.SUCCEEDED);
            assertThat(join(store.openJobs())).isEmpty();
        }

        @Test
        void reusedKeyWithDifferentContentIsRejected() {
            JobId id = JobKeys.derivedId(TEAM, "order-1");
            join(store.submit(id, spec("run"), 0));
            assertThatThrownBy(() -> join(store.submit(id, spec("other"), 0)))
                    .satisfies(
                            thrown ->
                                    assertThat(QuetzalscaleException.from(thrown).kind())
                                            .isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED));
        }
    }

    @Nested
    class StartAndFinish {
        @Test
        void endedJobReleasesItsUnitsAndIsBilledFromThePlatformsReport() {
            StoredJob running = started("a");
            assertThat(grantedUnits()).isEqualTo(1);
            commit(
                    JobChange.endAttempt(
                            running,
                            ended(running, TaskState.SUCCEEDED, 900),
                            JobState.SUCCEEDED,
                            ""));
            assertThat(grantedUnits()).isZero();
            assertThat(join(store.find(TEAM, new JobId("a"))).state())
                    .isEqualTo(JobState.SUCCEEDED);
            assertThat(ledger()).extracting(LedgerEntry::runMillis).containsExactly(900L);
        }

        /** Guards against billing an attempt that the platform never ran. */
        @Test
        void attemptThatDidNotRunIsNotBilled() {
            StoredJob running = started("a");
            commit(
                    JobChange.endAttempt(
                            running, ended(running, TaskState.LOST, 0), JobState.QUEUED, ""));
            assertThat(ledger()).isEmpty();
        }

        @Test
        void startBeyondTheTeamsLimitChangesNothing() {
            started("a");
            assertThat(commit(JobChange.start(submitted("b"), WORKER))).isEmpty();
            assertThat(grantedUnits()).isEqualTo(1);
        }

        /** Guards against ending, and billing, an attempt twice from a stale row. */
        @Test
        void staleEndOfAnAttemptChangesNothing() {
            StoredJob running = started("a");
            JobChange end =
                    JobChange.endAttempt(
                            running,
                            ended(running, TaskState.SUCCEEDED, 900),
                            JobState.SUCCEEDED,
                            "");
            assertThat(commit(end)).isPresent();
            assertThat(commit(end)).isEmpty();
        }

        /**
         * Guards against a write by a paused lease holder after another instance took the lease.
         */
        @Test
        void formerLeaseHolderWritesNothing() {
            StoredJob queued = submitted("a");
            Lease former = lease;
            lease = takeLease();
            assertThat(
                            join(
                                    store.commit(
                                            former,
                                            List.of(JobChange.start(queued, WORKER)),
                                            team -> 1)))
                    .isEmpty();
        }
    }

    @Nested
    class Cancellation {
        @Test
        void queuedJobEndsAtOnce() {
            submitted("a");
            assertThat(join(store.cancel(TEAM, new JobId("a"))).state())
                    .isEqualTo(JobState.CANCELLED);
            assertThat(join(store.openJobs())).isEmpty();
        }

        @Test
        void runningJobKeepsItsUnitsUntilItsAttemptEnds() {
            started("a");
            JobRow job = join(store.cancel(TEAM, new JobId("a")));
            assertThat(job.state()).isEqualTo(JobState.RUNNING);
            assertThat(job.cancelRequested()).isTrue();
            assertThat(grantedUnits()).isEqualTo(1);
        }
    }

    @Nested
    class LedgerUniqueness {
        /** Ends one attempt twice from the same stale row, omitting the given conditions. */
        private void endTwice(Predicate<Condition> omitted) {
            JobStore other = new JobStore(new PausableTable(table, omitted), codecs);
            StoredJob running = started("a");
            StoredJob second = commitWithLimit(JobChange.start(submitted("b"), WORKER), 2);
            assertThat(second.job().state()).isEqualTo(JobState.RUNNING);
            for (long runMillis : new long[] {900, 400}) {
                JobChange end =
                        JobChange.endAttempt(
                                running,
                                ended(running, TaskState.SUCCEEDED, runMillis),
                                JobState.SUCCEEDED,
                                "");
                join(other.commit(lease, List.of(end), team -> 2));
            }
        }

        private StoredJob commitWithLimit(JobChange change, int limit) {
            Row row = join(table.read(JobKeys.limit(TEAM))).orElseThrow();
            LimitRow raised = codecs.limit().decode(row.value()).withLimit(limit);
            join(
                    table.commit(
                            Transaction.builder()
                                    .replace(row, codecs.limit().encode(raised))
                                    .build()));
            return commit(change).orElseThrow().get(0);
        }

        /**
         * Guards against a second ledger entry, and units released twice, if the version checks of
         * the job rows fail.
         */
        @Test
        void absentLedgerRowConditionAlonePreventsASecondEnd() {
            endTwice(condition -> condition.key().value().startsWith("job"));
            assertThat(ledger()).extracting(LedgerEntry::runMillis).containsExactly(900L);
            assertThat(grantedUnits()).isEqualTo(1);
        }

        /** Shows that the test above detects a ledger write without that condition. */
        @Test
        void withoutTheAbsentConditionTheEntryChangesAndUnitsAreReleasedTwice() {
            endTwice(
                    condition ->
                            condition.key().value().startsWith("job")
                                    || condition.key().value().startsWith("ledger"));
            assertThat(ledger()).extracting(LedgerEntry::runMillis).containsExactly(400L);
            assertThat(grantedUnits()).isZero();
        }
    }
}
