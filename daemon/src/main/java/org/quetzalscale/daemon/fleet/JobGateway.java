package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.retry.OutageBackoff;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Records submissions and cancellations, and reads the state of jobs. Any instance may do so; the
 * owner of the fleet watches the rows.
 *
 * <p>Stages fail with STORE_UNAVAILABLE if nothing was recorded, and with STORE_OUTCOME_UNKNOWN if
 * it may have been.
 */
public final class JobGateway {
    static final long RETRY_DELAY_MILLIS = 60;

    /** Attempts after which the caller gets an error, so that it can try another instance. */
    static final int MAX_ATTEMPTS = 3;

    /** Time limit for all attempts of a call. */
    private static final long MAX_RETRY_MILLIS = 900;

    /** Time for the store's response to a call that arrives at its deadline or later. */
    private static final long MIN_RESPONSE_MILLIS = 100;

    /** Time in which a starting instance reads its configuration. */
    private static final int STARTUP_SECONDS = 1;

    private static final long WAITING_CACHE_MILLIS = 800;

    private final FeedTable table;
    private final LoopClock clock;
    private final BooleanSupplier storeUnavailableToAll;
    private final CallRetryBudget budget;
    private final OutageBackoff backoff = new OutageBackoff();
    private final SubmissionBatcher submissions;
    private JsonNode cachedWaiting;
    private long waitingReadMillis;

    /**
     * Creates a gateway.
     *
     * @param storeUnavailableToAll whether, as far as is known, no instance reaches the store
     * @param budget permits the repeated calls of the instance
     * @param onSubmissions receives the number of submissions of each transaction
     */
    public JobGateway(
            FeedTable table,
            LoopClock clock,
            BooleanSupplier storeUnavailableToAll,
            CallRetryBudget budget,
            LongConsumer onSubmissions) {
        this.budget = budget;
        this.submissions = new SubmissionBatcher(table, clock, budget, backoff, onSubmissions);
        this.storeUnavailableToAll = storeUnavailableToAll;
        this.table = table;
        this.clock = clock;
    }

    /**
     * Records a job, unless it is already recorded. The stage fails with JOB_CANCELLED if the job
     * was cancelled before it was recorded, and with INVALID_FIELD if its definition exceeds a row
     * of the store.
     *
     * @param deadlineMillis when the caller stops waiting, on the monotonic clock
     */
    public CompletionStage<Void> submit(JobDefinition job, long deadlineMillis) {
        long now = clock.nowMillis();
        String text = JobRowCodecs.DEFINITION.encode(job);
        if (!table.limits().fitsRow(text)) {
            return CompletableFuture.failedFuture(tooLarge(text));
        }
        return submissions.insert(
                FleetRows.job(job.id()),
                text,
                Math.min(deadlineMillis, now + MAX_RETRY_MILLIS),
                Math.max(deadlineMillis, now + MIN_RESPONSE_MILLIS));
    }

    private QuetzalscaleException tooLarge(String text) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                "steps",
                "spec and steps take "
                        + TableLimits.bytes(text)
                        + " bytes to store, expected at most "
                        + table.limits().rowBytes());
    }

    /** The state of a job; empty if there is no such job. */
    public CompletionStage<Optional<JobPhase>> phase(JobId id, long deadlineMillis) {
        return retry(() -> table.read(FleetRows.progress(id)), deadlineMillis)
                .thenCompose(
                        row -> {
                            if (row.isPresent()) {
                                return CompletableFuture.completedFuture(row.map(this::phaseOf));
                            }
                            return readJob(id, deadlineMillis)
                                    .thenApply(job -> job.map(ignored -> JobPhase.QUEUED));
                        });
    }

    /**
     * Records a cancellation, also of a job that is not recorded: its submission may be carried out
     * later, and the insertion of a job requires that it has not been cancelled.
     *
     * @return whether there is such a job
     */
    public CompletionStage<Boolean> cancel(JobId id, long deadlineMillis) {
        return readJob(id, deadlineMillis)
                .thenCompose(
                        row ->
                                row.isPresent()
                                        ? cancelRecorded(row.get().key(), deadlineMillis)
                                        : cancelUnrecorded(FleetRows.job(id), deadlineMillis));
    }

    private CompletionStage<Boolean> cancelRecorded(RowKey job, long deadlineMillis) {
        Transaction cancellation =
                Transaction.builder().put(FleetRows.cancellation(job), "{}").build();
        return retry(() -> table.commit(cancellation), deadlineMillis).thenApply(ignored -> true);
    }

    private CompletionStage<Boolean> cancelUnrecorded(RowKey job, long deadlineMillis) {
        Transaction cancellation =
                Transaction.builder()
                        .require(new Condition(job, Condition.ABSENT))
                        .put(FleetRows.cancellation(job), "{}")
                        .build();
        return retry(() -> table.commit(cancellation), deadlineMillis)
                .thenCompose(
                        result ->
                                result.isCommitted()
                                        ? CompletableFuture.completedFuture(false)
                                        : cancelRecorded(job, deadlineMillis));
    }

    /** Reads the row of a job, which an earlier release may have accepted. */
    private CompletionStage<Optional<Row>> readJob(JobId id, long deadlineMillis) {
        return retry(() -> table.read(FleetRows.job(id)), deadlineMillis)
                .thenCompose(
                        row ->
                                row.isPresent()
                                        ? CompletableFuture.completedFuture(row)
                                        : retry(
                                                () -> table.read(FleetRows.jobOfEarlierRelease(id)),
                                                deadlineMillis));
    }

    /** Number of the queue's jobs of which nothing has started, as last published by the owner. */
    public CompletionStage<Integer> waitingJobs(QueueId queue, long deadlineMillis) {
        if (cachedWaiting != null && clock.nowMillis() - waitingReadMillis < WAITING_CACHE_MILLIS) {
            return CompletableFuture.completedFuture(cachedWaiting.path(queue.value()).asInt());
        }
        return retry(() -> table.read(FleetRows.WAITING), deadlineMillis)
                .thenApply(
                        row -> {
                            cachedWaiting =
                                    Json.read(row.map(Row::value).orElse("{}"), JsonNode.class);
                            waitingReadMillis = clock.nowMillis();
                            return cachedWaiting.path(queue.value()).asInt();
                        });
    }

    /**
     * Seconds after which a caller should retry a request that could not be served: 0 if another
     * instance may still reach the store.
     */
    public int retryAfterSeconds(ErrorKind kind) {
        if (kind == ErrorKind.CONFIG_STALE) {
            return STARTUP_SECONDS;
        }
        return storeUnavailableToAll.getAsBoolean()
                ? backoff.retryAfterSeconds(clock.nowMillis())
                : 0;
    }

    private JobPhase phaseOf(Row row) {
        try {
            return JobRowCodecs.PROGRESS.decode(row.value()).phase();
        } catch (QuetzalscaleException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INTERNAL, "the row " + row.key() + " cannot be read", e);
        }
    }

    /**
     * Retries an idempotent call. The store may still answer another instance, so the retries end
     * well before the deadline of the caller. An attempt that lasts longer, such as one that is
     * relayed, does not delay the response beyond the deadline.
     */
    private <T> CompletionStage<T> retry(Supplier<CompletionStage<T>> call, long deadlineMillis) {
        CompletableFuture<T> result = new CompletableFuture<>();
        long now = clock.nowMillis();
        clock.after(
                Math.max(MIN_RESPONSE_MILLIS, deadlineMillis - now), () -> failAtDeadline(result));
        attempt(call, Math.min(deadlineMillis, now + MAX_RETRY_MILLIS), result, 1, false);
        return result;
    }

    private static void failAtDeadline(CompletableFuture<?> result) {
        if (!result.isDone()) {
            result.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_OUTCOME_UNKNOWN,
                            "the store did not respond before the caller's deadline"));
        }
    }

    private <T> void attempt(
            Supplier<CompletionStage<T>> call,
            long untilMillis,
            CompletableFuture<T> result,
            int calls,
            boolean maybeCommittedBefore) {
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
                            // Errors of any other kind do not tell what the store has done.
                            boolean maybeCommitted =
                                    maybeCommittedBefore
                                            || error.kind() != ErrorKind.STORE_UNAVAILABLE;
                            if (calls >= MAX_ATTEMPTS
                                    || clock.nowMillis() + RETRY_DELAY_MILLIS >= untilMillis
                                    || !budget.tryRetry(clock.nowMillis())) {
                                Logger.warn(
                                        "event=store_call_failed calls={} cause=\"{}\"",
                                        calls,
                                        error.getMessage());
                                result.completeExceptionally(
                                        maybeCommitted
                                                ? StoreFailures.asOutcomeUnknown(error)
                                                : error);
                                return;
                            }
                            clock.after(
                                    RETRY_DELAY_MILLIS,
                                    () ->
                                            attempt(
                                                    call,
                                                    untilMillis,
                                                    result,
                                                    calls + 1,
                                                    maybeCommitted));
                        });
    }
}
