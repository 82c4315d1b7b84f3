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
 * The row {@code ledger/<job>/<attempt>}: a billed attempt with the usage that the platform
 * reported. Components are stored by name.
 *
 * @param attempt number of the attempt, from 1
 * @param end final state that the platform reported
 * @param runMillis run time in milliseconds
 * @param cpuMillis processor time in milliseconds
 * @param peakMemoryMib peak memory usage in MiB
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
    /** Prefix of the row keys of all ledger entries. */
    public static final String PREFIX = "ledger/";

    /** Rejects null components and attempts that did not run or have not ended. */
    public LedgerEntry {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(end, "end");
        if (attempt < 1 || runMillis <= 0 || !end.ended()) {
            throw new IllegalArgumentException(
                    "attempt "
                            + attempt
                            + " of job "
                            + job
                            + " did not run or has not ended: "
                            + end);
        }
    }

    /** Whether an attempt with this report is billed: it has ended and its run time is not zero. */
    public static boolean isBillable(TaskReport report) {
        return report.state().ended() && report.runMillis() > 0;
    }

    /** Creates the entry of an attempt from the platform's report. */
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

    /** Task id of the attempt on the platform. */
    public TaskId task() {
        return new TaskId(job.value() + "-" + attempt);
    }

    /** Row key of the entry. */
    public RowKey key() {
        return RowKey.of("ledger", job.value(), Integer.toString(attempt));
    }
}
