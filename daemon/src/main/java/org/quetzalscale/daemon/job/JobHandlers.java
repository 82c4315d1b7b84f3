package org.quetzalscale.daemon.job;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.job.Cancellation;
import org.quetzalscale.core.job.CancellationBatcher;
import org.quetzalscale.core.job.JobKeys;
import org.quetzalscale.core.job.JobRow;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.http.HttpReply;

/**
 * HTTP handlers for submitters. The caller's team is already authenticated. Returned stages fail
 * with {@link QuetzalscaleException}s, which the server turns into error responses.
 */
public final class JobHandlers {
    /** Longest time that a lookup waits for the end of a job, in milliseconds. */
    public static final long MAX_WAIT_MILLIS = 60_000;

    private static final long POLL_MILLIS = 250;
    private static final int ID_BYTES = 16;
    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final JobStore store;
    private final CancellationBatcher cancellations;
    private final TimeSource time;
    private final TimeSource wallTime;
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates handlers for the jobs of a store.
     *
     * @param time monotonic time, for waits
     * @param wallTime wall-clock time, which orders submissions
     */
    public JobHandlers(
            JobStore store,
            CancellationBatcher cancellations,
            TimeSource time,
            TimeSource wallTime) {
        this.store = store;
        this.cancellations = cancellations;
        this.time = time;
        this.wallTime = wallTime;
    }

    /** Answers {@code POST /v1/jobs} once the job is durable. */
    public CompletionStage<HttpReply> submit(TeamId team, byte[] body) {
        JobRequest request;
        try {
            request = JobRequest.read(team, body);
        } catch (QuetzalscaleException e) {
            return CompletableFuture.failedFuture(e);
        }
        JobId id =
                request.submissionKey()
                        .map(key -> JobKeys.derivedId(team, key))
                        .orElseGet(this::randomId);
        return store.submit(id, request.spec(), wallTime.nowMillis())
                .thenApply(job -> HttpReply.json(CREATED, JobAnswer.of(job)));
    }

    /**
     * Answers {@code GET /v1/jobs/<id>?waitMs=n}.
     *
     * @param waitMs time to wait for the end of the job, in milliseconds; empty for none
     */
    public CompletionStage<HttpReply> find(TeamId team, String id, Optional<String> waitMs) {
        try {
            long waitMillis = waitMs.map(JobHandlers::parseWaitMillis).orElse(0L);
            long deadlineMillis = time.nowMillis() + waitMillis;
            return find(team, jobId(id), deadlineMillis)
                    .thenApply(job -> HttpReply.json(OK, JobAnswer.of(job)));
        } catch (QuetzalscaleException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Answers {@code DELETE /v1/jobs/<id>}: 200 if the job has ended, 202 if it is still to be
     * stopped.
     */
    public CompletionStage<HttpReply> cancel(TeamId team, String id) {
        try {
            return cancellations
                    .cancel(new Cancellation(team, jobId(id)))
                    .thenApply(
                            job ->
                                    HttpReply.json(
                                            job.state().ended() ? OK : ACCEPTED,
                                            JobAnswer.of(job)));
        } catch (QuetzalscaleException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletionStage<JobRow> find(TeamId team, JobId id, long deadlineMillis) {
        return store.find(team, id)
                .thenCompose(
                        job -> {
                            long remainingMillis = deadlineMillis - time.nowMillis();
                            if (job.state().ended() || remainingMillis <= 0) {
                                return CompletableFuture.completedFuture(job);
                            }
                            Executor delayed =
                                    CompletableFuture.delayedExecutor(
                                            Math.min(POLL_MILLIS, remainingMillis),
                                            TimeUnit.MILLISECONDS);
                            return CompletableFuture.runAsync(() -> {}, delayed)
                                    .thenCompose(ignored -> find(team, id, deadlineMillis));
                        });
    }

    private static long parseWaitMillis(String waitMs) {
        if (waitMs.matches("\\d{1,6}") && Long.parseLong(waitMs) <= MAX_WAIT_MILLIS) {
            return Long.parseLong(waitMs);
        }
        throw new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                "waitMs",
                "waitMs has the value "
                        + waitMs
                        + ": expected a whole number from 0 to "
                        + MAX_WAIT_MILLIS);
    }

    private static JobId jobId(String id) {
        try {
            return new JobId(id);
        } catch (QuetzalscaleException e) {
            throw new QuetzalscaleException(ErrorKind.JOB_UNKNOWN, "there is no job " + id);
        }
    }

    private JobId randomId() {
        byte[] bytes = new byte[ID_BYTES];
        random.nextBytes(bytes);
        return new JobId("j" + HexFormat.of().formatHex(bytes));
    }
}
