package org.quetzalscale.core.job;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.id.WorkerId;

/**
 * A change of one job by the lease holder, with the ledger entry and the units that are committed
 * in the same transaction.
 *
 * @param before the job as it was read; the commit fails if its row has changed since
 * @param after the job after the change
 * @param ledger the ledger entry of an ended attempt that is billed, or empty
 * @param units units acquired from the team's limit, negative if units are released
 */
public record JobChange(StoredJob before, JobRow after, Optional<LedgerEntry> ledger, int units) {
    /** Rejects null components. */
    public JobChange {
        Objects.requireNonNull(before, "before");
        Objects.requireNonNull(after, "after");
        Objects.requireNonNull(ledger, "ledger");
    }

    /** Assigns the next attempt of a queued job to a worker and acquires its units. */
    public static JobChange start(StoredJob before, WorkerId worker) {
        requireState(before, before.job().state() == JobState.QUEUED);
        int units = before.job().spec().slots();
        return new JobChange(before, before.job().startedOn(worker), Optional.empty(), units);
    }

    /** Records the worker, run time and latest checkpoint of the current attempt. */
    public static JobChange progress(StoredJob before, TaskReport report) {
        requireAttempt(before, report);
        return unitsUnchanged(before, before.job().withProgress(report));
    }

    /** Records a checkpoint of the current attempt. */
    public static JobChange checkpoint(StoredJob before, TaskReport report) {
        requireAttempt(before, report);
        return unitsUnchanged(before, before.job().withCheckpoint(report.checkpoint()));
    }

    /**
     * Records the decision to stop the current attempt.
     *
     * @param reason reason shown to operators and the submitter
     */
    public static JobChange stop(StoredJob before, String reason) {
        requireState(before, before.job().state() == JobState.RUNNING);
        return unitsUnchanged(before, before.job().stopping(reason));
    }

    /** Reverts a start that the platform never accepted and releases its units. */
    public static JobChange revertStart(StoredJob before, String reason) {
        requireState(before, before.job().state().holdsUnits());
        JobRow job = before.job();
        JobRow after =
                job.cancelRequested()
                        ? job.withStartReverted("").withoutAttempt(JobState.CANCELLED, "cancelled")
                        : job.withStartReverted(reason);
        return new JobChange(before, after, Optional.empty(), -job.spec().slots());
    }

    /** Ends a queued job. */
    public static JobChange endQueued(StoredJob before, JobState end, String reason) {
        requireState(before, before.job().state() == JobState.QUEUED);
        return unitsUnchanged(before, before.job().withoutAttempt(end, reason));
    }

    /**
     * Records the end of the current attempt, bills it if it ran, and releases its units.
     *
     * @param report the platform's report of the ended attempt
     * @param next next state of the job: final, or QUEUED for another attempt
     * @param reason reason for the next state, or empty
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
                    "report of task "
                            + report.task()
                            + " does not belong to task "
                            + before.job().task());
        }
    }

    private static void requireState(StoredJob before, boolean fits) {
        if (!fits) {
            throw new IllegalStateException(
                    "job " + before.job().id() + " has unexpected state " + before.job().state());
        }
    }
}
