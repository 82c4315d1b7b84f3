package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StepProgress;

/** The rows of jobs whose progress exceeds a row. */
final class ProgressRowsTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final RowKey MAIN = FleetRows.progress(JOB);
    private static final int TASKS = 3_000;
    private static final int SMALL_ROW_BYTES = 10_000;
    private static final String CHECKPOINT = "00000bb87a21d94b";

    private final TableLimits limits = TableLimits.DEFAULT;
    private final ProgressRows rows = new ProgressRows(limits);
    private final Map<RowKey, String> table = new TreeMap<>();
    private final BitSet done = new BitSet();
    private final Map<Integer, Set<Long>> failures = new HashMap<>();
    private final Map<Integer, Set<Long>> crashes = new HashMap<>();
    private final Map<Integer, String> checkpoints = new HashMap<>();

    private JobProgress progress() {
        return new JobProgress(
                JOB,
                JobPhase.RUNNING,
                List.of(new StepProgress(0, 0, done, failures, crashes, checkpoints)));
    }

    private static JobProgress ended() {
        return new JobProgress(JOB, JobPhase.COMPLETED, List.of());
    }

    private void apply(Mutation mutation) {
        mutation.value()
                .ifPresentOrElse(
                        text -> table.put(mutation.key(), text),
                        () -> table.remove(mutation.key()));
    }

    private List<Mutation> write(JobProgress progress) {
        List<Mutation> changes = rows.changes(progress, MAIN);
        changes.forEach(this::apply);
        return changes;
    }

    private RecordedProgress read() {
        List<Row> found = new ArrayList<>();
        table.forEach((key, text) -> found.add(new Row(key, 1, text)));
        return RecordedProgress.of(found);
    }

    private BitSet recordedDone() {
        BitSet found = new BitSet();
        read().of(JOB).stream()
                .flatMap(progress -> progress.steps().stream())
                .forEach(step -> found.or(step.done()));
        return found;
    }

    private void checkpointAll() {
        for (int index = 0; index < TASKS; index++) {
            checkpoints.put(index, CHECKPOINT);
        }
    }

    /** Guards against a row that the store rejects, and with it the ends of all jobs (LOST). */
    @Nested
    class LargeJobs {
        @Test
        void fitTheRowsOfTheStore() {
            checkpointAll();
            assertThat(limits.fitsRow(JobRowCodecs.PROGRESS.encode(progress()))).isFalse();
            write(progress());
            assertThat(table.values()).allMatch(limits::fitsRow);
        }

        @Test
        void areReadAsTheyWereWritten() {
            checkpointAll();
            done.set(1);
            failures.put(TASKS - 1, Set.of(7L, 9L));
            crashes.put(5, Set.of(8L));
            write(progress());

            RecordedProgress read = read();
            assertThat(read.unreadable()).isEmpty();
            assertThat(recordedDone()).isEqualTo(done);
            Map<Integer, Set<Long>> foundFailures = new HashMap<>();
            Map<Integer, Set<Long>> foundCrashes = new HashMap<>();
            Map<Integer, String> foundCheckpoints = new HashMap<>();
            for (StepProgress step : read.of(JOB).orElseThrow().steps()) {
                foundFailures.putAll(step.failures());
                foundCrashes.putAll(step.crashes());
                foundCheckpoints.putAll(step.checkpoints());
            }
            assertThat(foundFailures).isEqualTo(failures);
            assertThat(foundCrashes).isEqualTo(crashes);
            assertThat(foundCheckpoints).isEqualTo(checkpoints);
        }

        @Test
        void fitWithLongCheckpoints() {
            String longest = "x".repeat(ProgressRows.MAX_CHECKPOINT_CHARS);
            for (int index = 0; index < TASKS; index++) {
                checkpoints.put(index, index % 2 == 0 ? longest : longest + "x");
                failures.put(index, Set.of(10_485_760_001L, 10_485_760_002L, 10_485_760_003L));
            }
            write(progress());
            assertThat(table.values()).allMatch(limits::fitsRow);
            assertThat(read().of(JOB).orElseThrow().steps())
                    .flatExtracting(step -> step.checkpoints().values())
                    .hasSize(TASKS / 2)
                    .containsOnly(longest);
        }

        /** Guards against the rewriting of a whole job for the end of each of its tasks. */
        @Test
        void areWrittenOnlyWhereTheyChange() {
            checkpointAll();
            write(progress());
            done.set(1_000);
            checkpoints.remove(1_000);
            int range = 1_000 / ProgressRows.TASKS_PER_ROW;
            assertThat(rows.changes(progress(), MAIN))
                    .extracting(Mutation::key)
                    .containsExactly(FleetRows.progressOfTasks(MAIN, 0, 0, range));
        }

        /** Guards against rows that stay in the store for ever. */
        @Test
        void leaveOneRowWhenTheyEnd() {
            checkpointAll();
            write(progress());
            write(ended());
            assertThat(table).containsOnlyKeys(MAIN);
            assertThat(read().of(JOB).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        }

        @Test
        void leaveOneRowWhenTheyEndUnderANewOwner() {
            checkpointAll();
            write(progress());
            ProgressRows next = new ProgressRows(limits);
            read().ranges().forEach(next::addRecorded);
            next.changes(ended(), MAIN).forEach(ProgressRowsTest.this::apply);
            assertThat(table).containsOnlyKeys(MAIN);
        }
    }

    /**
     * Guards against ends that a new owner does not find, because the former one was killed between
     * two transactions of a large job (TWICE).
     */
    @Test
    void showsEachRecordedEndAfterEachTransaction() {
        Random random = new Random(1);
        ProgressRows small = new ProgressRows(new TableLimits(SMALL_ROW_BYTES));
        for (int round = 0; round < 60; round++) {
            BitSet before = (BitSet) done.clone();
            for (int i = 0; i < 40; i++) {
                int index = random.nextInt(TASKS);
                if (random.nextBoolean()) {
                    done.set(index);
                    checkpoints.remove(index);
                } else if (!done.get(index)) {
                    checkpoints.put(index, "x".repeat(random.nextInt(60)));
                    failures.put(index, Set.of((long) round));
                }
            }
            for (Mutation mutation : small.changes(progress(), MAIN)) {
                apply(mutation);
                BitSet missing = (BitSet) before.clone();
                missing.andNot(recordedDone());
                assertThat(missing.isEmpty()).as("round %d: %s", round, missing).isTrue();
            }
            assertThat(recordedDone()).isEqualTo(done);
        }
        assertThat(table.size()).as("rows of a split job").isGreaterThan(1);
    }

    /** Guards against a job that runs again although a part of its record cannot be read. */
    @Test
    void doesNotReadAJobWithAnUnreadableRange() {
        checkpointAll();
        write(progress());
        table.put(FleetRows.progressOfTasks(MAIN, 0, 0, 3), "{");
        assertThat(read().unreadable()).containsExactly(JOB);
    }

    /** Guards against two rows for a small job, each of which would have to be read and deleted. */
    @Test
    void keepsASmallJobInOneRow() {
        done.set(3);
        write(progress());
        assertThat(table).containsOnlyKeys(MAIN);
        assertThat(recordedDone()).isEqualTo(done);
    }
}
