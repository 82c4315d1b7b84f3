package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.table.Row;

/**
 * A job as it was read.
 *
 * @param row the row, whose version a write on the job requires
 */
public record StoredJob(Row row, JobRow job) {
    /** Requires both parts. */
    public StoredJob {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(job, "job");
    }
}
