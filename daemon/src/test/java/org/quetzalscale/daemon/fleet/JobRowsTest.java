package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;

/** Accepted jobs in several partitions. */
final class JobRowsTest {
    private final PendingReads table = new PendingReads();
    private final JobRows rows = new JobRows(table);

    /** A table whose reads of partitions the test answers. */
    private static final class PendingReads extends ForwardingTable {
        final Map<String, CompletableFuture<RowSnapshot>> pending = new TreeMap<>();
        final List<String> started = new ArrayList<>();

        PendingReads() {
            super(new InMemoryFeedTable());
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            started.add(prefix);
            return pending.computeIfAbsent(prefix, created -> new CompletableFuture<>());
        }

        void answer(String prefix, long version, String... keys) {
            List<Row> found =
                    List.of(keys).stream()
                            .map(key -> new Row(new RowKey(prefix + key), version, ""))
                            .toList();
            pending.remove(prefix).complete(new RowSnapshot(found, version));
        }
    }

    /** Guards against partitions that stay full because the ids of jobs prefer some of them. */
    @Test
    void spreadsJobsEvenly() {
        Map<String, Integer> counts = new TreeMap<>();
        int jobs = 100 * FleetRows.JOB_PARTITIONS;
        for (int i = 0; i < jobs; i++) {
            RowKey key = FleetRows.job(new JobId(String.format("%016x", i)));
            counts.merge(key.partition(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(FleetRows.JOB_PARTITIONS).doesNotContainKey(FleetRows.SHARD);
        assertThat(counts.values()).allMatch(count -> count > 50 && count < 150);
    }

    /**
     * Guards against a takeover that floods a weak instance with replies, and against a former
     * owner that finds a job of the new owner before it finds that it was replaced.
     */
    @Test
    void readsFewPartitionsAtOnceAndTheOwnersRowLast() {
        CompletableFuture<RowSnapshot> read = rows.read().toCompletableFuture();
        for (int i = 0; i < FleetRows.JOB_PARTITIONS; i++) {
            assertThat(table.pending)
                    .hasSizeLessThanOrEqualTo(JobRows.MAX_CONCURRENT_READS)
                    .doesNotContainKey(FleetRows.SHARD_JOBS_PREFIX);
            String next = table.pending.keySet().iterator().next();
            table.answer(next, 100 + i, "job");
        }
        table.answer(FleetRows.SHARD_JOBS_PREFIX, 200, "owner");

        assertThat(read).isCompleted();
        assertThat(read.join().rows().get(0).key()).isEqualTo(FleetRows.OWNER);
        assertThat(read.join().rows()).hasSize(FleetRows.JOB_PARTITIONS + 1);
        assertThat(read.join().version()).as("no change between reads is missed").isEqualTo(100);
    }

    /** Guards against owners that read all jobs again and again while one partition is slow. */
    @Test
    void readsOnlyMissingPartitionsAfterAnError() {
        CompletableFuture<RowSnapshot> first = rows.read().toCompletableFuture();
        String failing = FleetRows.JOB_PREFIXES.get(0);
        table.pending
                .remove(failing)
                .completeExceptionally(
                        new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "full"));
        while (!table.pending.isEmpty()) {
            table.answer(table.pending.keySet().iterator().next(), 100);
        }
        assertThat(first).isCompletedExceptionally();
        table.started.clear();

        CompletableFuture<RowSnapshot> second = rows.read().toCompletableFuture();
        table.answer(failing, 150);
        table.answer(FleetRows.SHARD_JOBS_PREFIX, 151);

        assertThat(second).isCompleted();
        assertThat(table.started).containsExactly(failing, FleetRows.SHARD_JOBS_PREFIX);
    }

    /** Guards against rows of other writers that are taken for jobs. */
    @Test
    void findsTheJobOfAKey() {
        JobId id = new JobId("00000000000000aa");
        List<RowKey> keys = List.of(FleetRows.job(id), FleetRows.jobOfEarlierRelease(id));
        assertThat(keys).allMatch(key -> FleetRows.jobOf(key).orElseThrow().equals(id));
        assertThat(keys.stream().map(FleetRows::cancellation))
                .allMatch(key -> FleetRows.jobOf(key).orElseThrow().equals(id))
                .allMatch(FleetRows::isCancellation);
        assertThat(IntStream.of(-1, FleetRows.JOB_PARTITIONS).mapToObj(n -> "jobs/fleet-" + n))
                .allMatch(part -> FleetRows.jobOf(new RowKey(part + "/" + id)).isEmpty());
        assertThat(FleetRows.jobOf(new RowKey("jobs/fleet"))).isEmpty();
    }
}
