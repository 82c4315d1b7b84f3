package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.retry.OutageBackoff;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Records submissions and cancellations, and reads the state of jobs. Any instance may do so; the
 * owner of the fleet follows the rows.
 *
 * <p>Stages fail with STORE_UNAVAILABLE if nothing was recorded, and with STORE_OUTCOME_UNKNOWN if
 * it may have been.
 */
public final class JobGateway {
    private static final long RETRY_MILLIS = 60;

    /** Calls to the store after which the caller is answered, so that it tries another instance. */
    private static final int MAX_CALLS = 3;

    /** Time for these calls. */
    private static final long MAX_INSISTING_MILLIS = 900;

    /** Time in which an instance that starts reads its configuration. */
    private static final int START_SECONDS = 1;

    private static final long WAITING_AGE_MILLIS = 800;

    private final FeedTable table;
    private final LoopClock clock;
    private final BooleanSupplier awayForAll;
    private final OutageBackoff backoff = new OutageBackoff();
    private JsonNode waiting;
    private long waitingReadMillis;

    /**
     * Creates a gateway.
     *
     * @param awayForAll whether no other instance reaches the store either, as far as is known
     */
    public JobGateway(FeedTable table, LoopClock clock, BooleanSupplier awayForAll) {
        this.awayForAll = awayForAll;
        this.table = table;
        this.clock = clock;
    }

    /**
     * Records a job. A job that is recorded already stays as it is.
     *
     * @param deadlineMillis when the caller no longer waits, on the monotonic clock
     */
    public CompletionStage<Void> submit(JobDefinition job, long deadlineMillis) {
        Transaction insertion =
                Transaction.builder()
                        .insert(FleetRows.job(job.id()), JobDocuments.DEFINITION.encode(job))
                        .build();
        return insist(() -> table.commit(insertion).thenApply(result -> null), deadlineMillis)
                .thenApply(result -> null);
    }

    /** The state of a job; empty if there is no such job. */
    public CompletionStage<Optional<JobPhase>> phase(JobId id, long deadlineMillis) {
        return insist(() -> table.read(FleetRows.progress(id)), deadlineMillis)
                .thenCompose(
                        row -> {
                            if (row.isPresent()) {
                                return CompletableFuture.completedFuture(row.map(this::phaseOf));
                            }
                            return insist(() -> table.read(FleetRows.job(id)), deadlineMillis)
                                    .thenApply(job -> job.map(ignored -> JobPhase.QUEUED));
                        });
    }

    /**
     * Records a cancellation.
     *
     * @return whether there is such a job
     */
    public CompletionStage<Boolean> cancel(JobId id, long deadlineMillis) {
        return insist(() -> table.read(FleetRows.job(id)), deadlineMillis)
                .thenCompose(
                        row -> {
                            if (row.isEmpty()) {
                                return CompletableFuture.completedFuture(false);
                            }
                            Transaction mark =
                                    Transaction.builder()
                                            .put(FleetRows.cancellation(id), "{}")
                                            .build();
                            return insist(() -> table.commit(mark), deadlineMillis)
                                    .thenApply(ignored -> true);
                        });
    }

    /** Number of the queue's jobs of which nothing has started, as the owner last published it. */
    public CompletionStage<Integer> waitingJobs(QueueId queue, long deadlineMillis) {
        if (waiting != null && clock.nowMillis() - waitingReadMillis < WAITING_AGE_MILLIS) {
            return CompletableFuture.completedFuture(waiting.path(queue.value()).asInt());
        }
        return insist(() -> table.read(FleetRows.WAITING), deadlineMillis)
                .thenApply(
                        row -> {
                            waiting = Json.read(row.map(Row::value).orElse("{}"), JsonNode.class);
                            waitingReadMillis = clock.nowMillis();
                            return waiting.path(queue.value()).asInt();
                        });
    }

    /**
     * After how many seconds a caller should come back whose call could not be served: at once, if
     * it may find an instance that the store answers.
     */
    public int retryAfterSeconds(ErrorKind kind) {
        if (kind == ErrorKind.CONFIG_STALE) {
            return START_SECONDS;
        }
        return awayForAll.getAsBoolean() ? backoff.retryAfterSeconds(clock.nowMillis()) : 0;
    }

    private JobPhase phaseOf(Row row) {
        return JobDocuments.PROGRESS.decode(row.value()).phase();
    }

    /**
     * Repeats a call that may be repeated. A store that does not answer this instance may answer
     * another one, so the caller is not kept waiting until its deadline.
     */
    private <T> CompletionStage<T> insist(Supplier<CompletionStage<T>> call, long deadlineMillis) {
        CompletableFuture<T> result = new CompletableFuture<>();
        long until = Math.min(deadlineMillis, clock.nowMillis() + MAX_INSISTING_MILLIS);
        attempt(call, until, result, 1, false);
        return result;
    }

    private <T> void attempt(
            Supplier<CompletionStage<T>> call,
            long untilMillis,
            CompletableFuture<T> result,
            int calls,
            boolean uncertain) {
        call.get()
                .whenComplete(
                        (value, failure) -> {
                            if (failure == null) {
                                backoff.recordSuccess();
                                result.complete(value);
                                return;
                            }
                            backoff.recordFailure(clock.nowMillis());
                            QuetzalscaleException error = QuetzalscaleException.from(failure);
                            boolean doubt =
                                    uncertain || error.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN;
                            if (calls >= MAX_CALLS
                                    || clock.nowMillis() + RETRY_MILLIS >= untilMillis) {
                                Logger.warn(
                                        "event=store_call_failed calls={} cause=\"{}\"",
                                        calls,
                                        error.getMessage());
                                result.completeExceptionally(doubt ? uncertain(error) : error);
                                return;
                            }
                            clock.after(
                                    RETRY_MILLIS,
                                    () -> attempt(call, untilMillis, result, calls + 1, doubt));
                        });
    }

    private static QuetzalscaleException uncertain(QuetzalscaleException error) {
        return error.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN
                ? error
                : new QuetzalscaleException(
                        ErrorKind.STORE_OUTCOME_UNKNOWN, error.getMessage(), error);
    }
}
