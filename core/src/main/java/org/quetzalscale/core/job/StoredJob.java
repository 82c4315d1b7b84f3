package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.table.Row;

/**
 * A job together with the row that it was read from.
 *
 * @param row the row; a change of the job requires that its version is unchanged
 * @param job the decoded row
 */
public record StoredJob(Row row, JobRow job) {
    /** Rejects null components. */
    public StoredJob {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(job, "job");
    }
}
