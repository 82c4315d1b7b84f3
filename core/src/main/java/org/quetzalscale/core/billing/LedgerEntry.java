package org.quetzalscale.core.billing;

import java.util.Objects;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.RowKey;

/**
 * The row {@code ledger/<job>/<attempt>}: an attempt that ran, with the platform's figures.
 *
 * @param attempt number of the attempt, from 1
 * @param end how the platform says that it ended
 * @param runMillis time that it ran, in milliseconds
 * @param cpuMillis processor time that it used, in milliseconds
 * @param peakMemoryMib most memory that it used, in MiB
 */
public record LedgerEntry(
        JobId job,
        int attempt,
        TeamId team,
        WorkerId worker,
        TaskState end,
        long runMillis,
        long cpuMillis,
        int peakMemoryMib) {
    /** Prefix of all rows of the ledger. */
    public static final String PREFIX = "ledger/";

    /** Requires all parts and an attempt that ran. */
    public LedgerEntry {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(end, "end");
        if (attempt < 1 || runMillis <= 0 || !end.ended()) {
            throw new IllegalArgumentException(
                    "attempt " + attempt + " of " + job + " did not run to an end: " + end);
        }
    }

    /** Whether an attempt with this report is billed: it ended after it had run. */
    public static boolean isBillable(TaskReport report) {
        return report.state().ended() && report.runMillis() > 0;
    }

    /** The entry of an attempt from the platform's report of it. */
    public static LedgerEntry of(JobId job, int attempt, TeamId team, TaskReport report) {
        return new LedgerEntry(
                job,
                attempt,
                team,
                report.worker(),
                report.state(),
                report.runMillis(),
                report.cpuMillis(),
                report.peakMemoryMib());
    }

    /** The platform's identifier of the attempt. */
    public TaskId task() {
        return new TaskId(job.value() + "-" + attempt);
    }

    /** The entry's row. */
    public RowKey key() {
        return RowKey.of("ledger", job.value(), Integer.toString(attempt));
    }
}
