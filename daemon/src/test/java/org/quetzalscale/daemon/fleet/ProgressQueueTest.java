package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StepProgress;

/** Which rows of progress the next transaction takes. */
final class ProgressQueueTest {
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_BYTES = 1_000_000;
    private static final long RETRY_MILLIS = 10_000;

    private final ProgressQueue queue =
            new ProgressQueue(
                    new ProgressRows(TableLimits.DEFAULT),
                    progress -> FleetRows.progress(progress.job()));

    private static JobId id(int number) {
        return new JobId(String.format("%016x", number));
    }

    private static JobProgress job(int number, JobPhase phase) {
        return new JobProgress(id(number), phase, List.of());
    }

    private static JobProgress running(int number) {
        return job(number, JobPhase.RUNNING);
    }

    /** Writes all rows to a table that rejects those of one job; returns the jobs written. */
    private List<JobId> writeAll(JobId rejected, long nowMillis) {
        List<JobId> written = new ArrayList<>();
        while (true) {
            List<ProgressQueue.Entry> batch = queue.next();
            if (batch.isEmpty()) {
                return written;
            }
            if (batch.stream().anyMatch(entry -> entry.progress().job().equals(rejected))) {
                queue.rejected(batch, nowMillis);
            } else {
                batch.forEach(entry -> written.add(entry.progress().job()));
            }
        }
    }

    /** Guards against one job that keeps the progress of all others from being recorded (LOST). */
    @Test
    void writesTheOtherJobsBesideOneThatIsRejected() {
        queue.add(List.of(running(1), running(2), running(3)), 0);
        assertThat(writeAll(id(2), 0)).containsExactly(id(1), id(3));

        queue.add(List.of(running(4), running(2)), 1);
        assertThat(queue.next()).as("without the rejected job").hasSize(1);
    }

    /** Guards against a job whose progress is never recorded once it was rejected. */
    @Test
    void writesARejectedJobAgainLater() {
        queue.add(List.of(running(1), running(2)), 0);
        writeAll(id(2), 0);
        assertThat(queue.hasRows(RETRY_MILLIS - 1)).isFalse();
        assertThat(queue.hasRows(RETRY_MILLIS)).isTrue();

        queue.add(List.of(), RETRY_MILLIS);
        assertThat(writeAll(id(9), RETRY_MILLIS)).containsExactly(id(2));
    }

    /** Guards against a job that has ended and is shown as running. */
    @Test
    void writesTheEndOfARejectedJobAtOnce() {
        queue.add(List.of(running(2)), 0);
        writeAll(id(2), 0);
        queue.add(List.of(job(2, JobPhase.COMPLETED)), 1);
        assertThat(queue.next()).singleElement().matches(ProgressQueue.Entry::isEnd);
        assertThat(queue.hasRows(RETRY_MILLIS)).isFalse();
    }

    /** Guards against a row that names an end while rows before it are missing (TWICE). */
    @Test
    void dropsAllRowsOfARejectedJob() {
        queue.add(List.of(large(1)), 0);
        List<ProgressQueue.Entry> batch = queue.next();
        assertThat(batch).hasSizeGreaterThan(1);
        assertThat(queue.rejected(batch, 0)).isEmpty();
        Optional<ProgressQueue.Entry> dropped = queue.rejected(queue.next(), 0);
        assertThat(dropped).isPresent();
        assertThat(queue.next()).isEmpty();
    }

    /** Guards against transactions that the store rejects, or that take longer than a call may. */
    @Test
    void keepsTheLimitsOfATransaction() {
        queue.add(List.of(large(1), large(2), large(3)), 0);
        int rows = 0;
        for (List<ProgressQueue.Entry> batch = queue.next();
                !batch.isEmpty();
                batch = queue.next()) {
            rows += batch.size();
            int bytes = 0;
            for (ProgressQueue.Entry entry : batch) {
                bytes += TableLimits.bytes(entry.mutation().value().orElseThrow());
            }
            assertThat(batch).hasSizeLessThan(MAX_ENTRIES - 10);
            assertThat(bytes).isLessThan(MAX_BYTES / 2);
        }
        assertThat(rows).isGreaterThan(MAX_ENTRIES);
    }

    private static JobProgress large(int number) {
        Map<Integer, String> checkpoints = new HashMap<>();
        for (int index = 0; index < 4_000; index++) {
            checkpoints.put(index, "x".repeat(200));
        }
        StepProgress step = new StepProgress(0, 0, new BitSet(), Map.of(), Map.of(), checkpoints);
        return new JobProgress(id(number), JobPhase.RUNNING, List.of(step));
    }
}
