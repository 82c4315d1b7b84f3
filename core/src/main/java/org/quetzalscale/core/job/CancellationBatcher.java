package org.quetzalscale.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Commits cancellations in rate-limited batches, so that a burst of them uses at most a given share
 * of the store's write capacity. A cancellation that arrives when the rate limit permits is
 * committed immediately.
 */
public final class CancellationBatcher {
    /** Maximum number of jobs in one transaction; each job changes up to two rows. */
    public static final int JOBS_PER_TRANSACTION = 32;

    private static final int BURST_WRITES = 1;
    private static final int MAX_ATTEMPTS = 8;
    private static final int MAX_PENDING = 100_000;

    private final JobStore store;
    private final TimeSource time;
    private final WriteRateLimiter rateLimiter;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<PendingCancellation> pending = new ArrayDeque<>();

    /**
     * Creates a batcher without pending requests.
     *
     * @param writesPerSecond maximum rate of cancellation transactions of this instance
     */
    public CancellationBatcher(JobStore store, TimeSource time, double writesPerSecond) {
        this.store = store;
        this.time = time;
        this.rateLimiter = new WriteRateLimiter(writesPerSecond, BURST_WRITES, time.nowMillis());
    }

    /**
     * Cancels a job as {@link JobStore#cancel} does.
     *
     * @return the job after the cancellation; fails with QUEUE_FULL if too many cancellations are
     *     pending
     */
    public CompletionStage<JobRow> cancel(Cancellation request) {
        PendingCancellation added = new PendingCancellation(request);
        lock.lock();
        try {
            if (pending.size() >= MAX_PENDING) {
                return CompletableFuture.failedFuture(
                        new QuetzalscaleException(
                                ErrorKind.QUEUE_FULL,
                                MAX_PENDING + " cancellations are already pending"));
            }
            pending.add(added);
        } finally {
            lock.unlock();
        }
        flush();
        return added.result;
    }

    /** Commits the next batch if the rate limit permits. Intended to be called every 100 ms. */
    public void flush() {
        List<PendingCancellation> batch = nextBatch();
        if (batch.isEmpty()) {
            return;
        }
        store.cancelBatch(batch.stream().map(entry -> entry.request).toList())
                .whenComplete(
                        (results, thrown) -> {
                            if (thrown != null) {
                                QuetzalscaleException failure = QuetzalscaleException.from(thrown);
                                batch.forEach(entry -> entry.result.completeExceptionally(failure));
                            } else if (results.isEmpty()) {
                                batch.forEach(this::requeue);
                            } else {
                                for (int i = 0; i < batch.size(); i++) {
                                    batch.get(i).complete(results.get().get(i));
                                }
                            }
                        });
    }

    private List<PendingCancellation> nextBatch() {
        lock.lock();
        try {
            if (pending.isEmpty() || !rateLimiter.tryAcquire(time.nowMillis())) {
                return List.of();
            }
            Map<JobId, PendingCancellation> batch = new LinkedHashMap<>();
            while (!pending.isEmpty() && batch.size() < JOBS_PER_TRANSACTION) {
                PendingCancellation next = pending.peek();
                // A conflict on one job rejects its whole batch, so a job that keeps changing is
                // committed alone after repeated conflicts.
                boolean fits =
                        batch.isEmpty() || !next.commitAlone && !batch.containsKey(jobId(next));
                if (!fits) {
                    break;
                }
                batch.put(jobId(next), pending.poll());
                if (next.commitAlone) {
                    break;
                }
            }
            return new ArrayList<>(batch.values());
        } finally {
            lock.unlock();
        }
    }

    private void requeue(PendingCancellation entry) {
        entry.attempts++;
        if (entry.attempts >= MAX_ATTEMPTS) {
            entry.result.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.VERSION_CONFLICT,
                            "job " + jobId(entry) + " was modified concurrently too often"));
            return;
        }
        lock.lock();
        try {
            entry.commitAlone = entry.attempts > 2;
            pending.add(entry);
        } finally {
            lock.unlock();
        }
    }

    private static JobId jobId(PendingCancellation entry) {
        return entry.request.job();
    }

    /** A cancellation whose result is not known yet. */
    private static final class PendingCancellation {
        private final Cancellation request;
        private final CompletableFuture<JobRow> result = new CompletableFuture<>();
        private int attempts;
        private boolean commitAlone;

        private PendingCancellation(Cancellation request) {
            this.request = request;
        }

        private void complete(CancellationResult outcome) {
            outcome.job().ifPresent(result::complete);
            outcome.failure().ifPresent(result::completeExceptionally);
        }
    }
}
