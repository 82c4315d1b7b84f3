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
 * Commits cancellations in batches, so that a wave of them uses at most a given share of the
 * store's writes. A single cancellation goes out at once.
 */
public final class CancellationBatcher {
    /** Jobs in one transaction; each takes up to two rows. */
    public static final int JOBS_PER_TRANSACTION = 32;

    private static final int BURST_WRITES = 1;
    private static final int MAX_TRIES = 8;
    private static final int MAX_WAITING = 100_000;

    private final JobStore store;
    private final TimeSource time;
    private final WriteBudget budget;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    /**
     * A batcher without requests.
     *
     * @param writesPerSecond transactions per second that this instance may use for cancellations
     */
    public CancellationBatcher(JobStore store, TimeSource time, double writesPerSecond) {
        this.store = store;
        this.time = time;
        this.budget = new WriteBudget(writesPerSecond, BURST_WRITES, time.nowMillis());
    }

    /**
     * Cancels a job as {@link JobStore#cancel} does.
     *
     * @return fails with QUEUE_FULL if too many cancellations wait
     */
    public CompletionStage<JobRow> cancel(Cancellation request) {
        Waiting added = new Waiting(request);
        lock.lock();
        try {
            if (waiting.size() >= MAX_WAITING) {
                return CompletableFuture.failedFuture(
                        new QuetzalscaleException(
                                ErrorKind.QUEUE_FULL, MAX_WAITING + " cancellations wait already"));
            }
            waiting.add(added);
        } finally {
            lock.unlock();
        }
        flush();
        return added.answer;
    }

    /** Commits the next batch if the budget permits; call it every 100 ms. */
    public void flush() {
        List<Waiting> batch = nextBatch();
        if (batch.isEmpty()) {
            return;
        }
        store.cancelTogether(batch.stream().map(entry -> entry.request).toList())
                .whenComplete(
                        (results, thrown) -> {
                            if (thrown != null) {
                                QuetzalscaleException failure = QuetzalscaleException.from(thrown);
                                batch.forEach(entry -> entry.answer.completeExceptionally(failure));
                            } else if (results.isEmpty()) {
                                batch.forEach(this::retryAlone);
                            } else {
                                for (int i = 0; i < batch.size(); i++) {
                                    batch.get(i).complete(results.get().get(i));
                                }
                            }
                        });
    }

    private List<Waiting> nextBatch() {
        lock.lock();
        try {
            if (waiting.isEmpty() || !budget.tryTake(time.nowMillis())) {
                return List.of();
            }
            Map<JobId, Waiting> batch = new LinkedHashMap<>();
            while (!waiting.isEmpty() && batch.size() < JOBS_PER_TRANSACTION) {
                Waiting next = waiting.peek();
                // A job that changes all the time must not hold up others again.
                boolean fits = batch.isEmpty() || !next.alone && !batch.containsKey(jobOf(next));
                if (!fits) {
                    break;
                }
                batch.put(jobOf(next), waiting.poll());
                if (next.alone) {
                    break;
                }
            }
            return new ArrayList<>(batch.values());
        } finally {
            lock.unlock();
        }
    }

    private void retryAlone(Waiting entry) {
        entry.tries++;
        if (entry.tries >= MAX_TRIES) {
            entry.answer.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.VERSION_CONFLICT,
                            "job " + jobOf(entry) + " changes too often"));
            return;
        }
        lock.lock();
        try {
            entry.alone = entry.tries > 2;
            waiting.add(entry);
        } finally {
            lock.unlock();
        }
    }

    private static JobId jobOf(Waiting entry) {
        return entry.request.job();
    }

    /** A request that has no answer yet. */
    private static final class Waiting {
        private final Cancellation request;
        private final CompletableFuture<JobRow> answer = new CompletableFuture<>();
        private int tries;
        private boolean alone;

        private Waiting(Cancellation request) {
            this.request = request;
        }

        private void complete(CancelResult result) {
            result.job().ifPresent(answer::complete);
            result.failure().ifPresent(answer::completeExceptionally);
        }
    }
}
