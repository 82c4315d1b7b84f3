package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Needs that no worker of a pool can take in the present plan. During a plan capacity only becomes
 * less, so a task that needs as much need not be tried. With a full pool and many waiting steps,
 * this avoids most of the search.
 */
final class UnfitNeeds {
    /**
     * @param runMillis the shortest run that does not fit; 0 if the length makes no difference
     */
    private record Unfit(StepDefinition step, Resources need, long runMillis) {}

    private final List<Unfit> entries = new ArrayList<>();

    /** Adds a step of which a task fits nowhere if it runs for at least the given time. */
    void add(StepDefinition step, long runMillis) {
        entries.add(new Unfit(step, step.reserved(), runMillis));
    }

    /** Whether a task of the step is known to fit nowhere. */
    boolean contains(StepDefinition step, long runMillis) {
        Resources need = step.reserved();
        for (Unfit entry : entries) {
            if (runMillis >= entry.runMillis()
                    && entry.need().fitsIn(need)
                    && (entry.step().requiredLabel().isEmpty()
                            || entry.step().requiredLabel().equals(step.requiredLabel()))) {
                return true;
            }
        }
        return false;
    }
}
