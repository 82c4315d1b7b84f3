package org.quetzalscale.core.job;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.id.WorkerId;

/**
 * A change of one job by the holder of the lease, to be committed with everything that belongs to
 * it.
 *
 * @param before the job as it was read; the commit requires that it is still so
 * @param ledger the ledger entry of an attempt that ended after it had run
 * @param units units that the job takes from its team's limit, negative if it returns them
 */
public record JobChange(StoredJob before, JobRow after, Optional<LedgerEntry> ledger, int units) {
    /** Requires all parts. */
    public JobChange {
        Objects.requireNonNull(before, "before");
        Objects.requireNonNull(after, "after");
        Objects.requireNonNull(ledger, "ledger");
    }

    /** Grants the next attempt of a queued job on a worker and takes its units. */
    public static JobChange start(StoredJob before, WorkerId worker) {
        requireState(before, before.job().state() == JobState.QUEUED);
        int units = before.job().spec().slots();
        return new JobChange(before, before.job().startedOn(worker), Optional.empty(), units);
    }

    /** Records that the present attempt runs on, with its worker, usage and latest checkpoint. */
    public static JobChange progress(StoredJob before, TaskReport report) {
        requireAttempt(before, report);
        return unitsUnchanged(before, before.job().withProgress(report));
    }

    /** Records a checkpoint of the present attempt. */
    public static JobChange checkpoint(StoredJob before, TaskReport report) {
        requireAttempt(before, report);
        return unitsUnchanged(before, before.job().withCheckpoint(report.checkpoint()));
    }

    /**
     * Records the decision to stop the present attempt.
     *
     * @param reason why, for operators and the submitter
     */
    public static JobChange stop(StoredJob before, String reason) {
        requireState(before, before.job().state() == JobState.RUNNING);
        return unitsUnchanged(before, before.job().stopping(reason));
    }

    /** Takes back the present attempt, which the platform never took, and returns its units. */
    public static JobChange revertStart(StoredJob before, String reason) {
        requireState(before, before.job().state().holdsUnits());
        JobRow job = before.job();
        JobRow after =
                job.cancelRequested()
                        ? job.withStartReverted("").withoutAttempt(JobState.CANCELLED, "cancelled")
                        : job.withStartReverted(reason);
        return new JobChange(before, after, Optional.empty(), -job.spec().slots());
    }

    /** Ends a job that has no present attempt. */
    public static JobChange endQueued(StoredJob before, JobState end, String reason) {
        requireState(before, before.job().state() == JobState.QUEUED);
        return unitsUnchanged(before, before.job().withoutAttempt(end, reason));
    }

    /**
     * Records the end of the present attempt, bills it if it ran, and returns its units.
     *
     * @param report the platform's report of the ended attempt
     * @param next the job's state afterwards: final, or QUEUED for another attempt
     * @param reason why the job is in that state, or empty
     */
    public static JobChange endAttempt(
            StoredJob before, TaskReport report, JobState next, String reason) {
        requireAttempt(before, report);
        JobRow job = before.job();
        Optional<LedgerEntry> entry =
                LedgerEntry.isBillable(report)
                        ? Optional.of(
                                LedgerEntry.of(job.id(), job.attempt(), job.spec().team(), report))
                        : Optional.empty();
        JobRow after = job.withEndedAttempt(report).withoutAttempt(next, reason);
        return new JobChange(before, after, entry, -job.spec().slots());
    }

    private static JobChange unitsUnchanged(StoredJob before, JobRow after) {
        return new JobChange(before, after, Optional.empty(), 0);
    }

    private static void requireAttempt(StoredJob before, TaskReport report) {
        requireState(before, before.job().state().holdsUnits());
        if (!report.task().equals(before.job().task())) {
            throw new IllegalArgumentException(
                    "report of " + report.task() + " used for " + before.job().task());
        }
    }

    private static void requireState(StoredJob before, boolean fits) {
        if (!fits) {
            throw new IllegalStateException(
                    "job " + before.job().id() + " is " + before.job().state());
        }
    }
}
