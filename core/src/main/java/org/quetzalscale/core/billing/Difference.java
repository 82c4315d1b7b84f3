package org.quetzalscale.core.billing;

import java.util.Objects;
import org.quetzalscale.core.id.TaskId;

/**
 * A point in which the ledger and the platform's records disagree.
 *
 * @param detail both figures, in words for an operator
 */
public record Difference(TaskId task, Kind kind, String detail) {
    /** Requires all parts. */
    public Difference {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** What disagrees. */
    public enum Kind {
        /** The platform ran an attempt that the ledger does not have. */
        NOT_BILLED,
        /** The ledger has an attempt that the platform did not run. */
        NOT_RUN,
        /** Both have the attempt, with other figures. */
        OTHER_USAGE
    }
}
