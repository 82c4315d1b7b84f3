package org.quetzalscale.core.billing;

import java.util.Objects;
import org.quetzalscale.core.id.TaskId;

/**
 * A discrepancy between the ledger and the platform's execution records.
 *
 * @param detail operator-readable description with the records that differ
 */
public record Difference(TaskId task, Kind kind, String detail) {
    /** Rejects null components. */
    public Difference {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Kind of discrepancy. */
    public enum Kind {
        /** The platform ran an attempt that is missing in the ledger. */
        NOT_BILLED,
        /** The ledger bills an attempt that the platform did not run. */
        NOT_RUN,
        /** Both have the attempt, but worker, final state or usage differ. */
        OTHER_USAGE
    }
}
