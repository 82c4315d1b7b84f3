package org.quetzalscale.core.maintenance;

import java.util.Optional;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;

/** Computes a worker's next assignment from the configuration that its transaction requires. */
@FunctionalInterface
public interface AssignmentRule {
    /**
     * Returns the next assignment.
     *
     * @throws QuetzalscaleException INVALID_STATE if the current assignment does not permit the
     *     change, BUDGET_EXHAUSTED if a budget does not
     */
    AssignmentSpec next(ConfigSnapshot latest, AssignmentSpec present);

    /**
     * Returns a rule that applies only to exactly the assignment that was read; other changes of
     * the configuration don't matter.
     *
     * @param before the assignment at the revision that was read
     */
    static AssignmentRule step(WorkerId worker, Versioned before, AssignmentSpec next) {
        return (latest, present) -> {
            if (!latest.find(Kind.ASSIGNMENTS, worker.value()).equals(Optional.of(before))) {
                throw new QuetzalscaleException(
                        ErrorKind.INVALID_STATE,
                        String.format(
                                "the assignment of worker \"%s\" changed since revision %s",
                                worker, before.revision()));
            }
            return next;
        };
    }
}
