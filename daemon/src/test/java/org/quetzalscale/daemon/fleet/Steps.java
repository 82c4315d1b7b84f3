package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.StepDefinition;

/** Step definitions for tests. */
final class Steps {
    private static final double MEMORY_MIB = 10;
    private static final long ESTIMATE_MILLIS = 300;

    private Steps() {}

    /** A step whose tasks end on their own. */
    static StepDefinition ending(int count, double cores, List<Integer> after) {
        return step(count, cores, after, 0, false, 0);
    }

    /** A step whose tasks run until their job is cancelled, each on a different worker. */
    static StepDefinition lasting(int count, double cores, int maxUnavailable) {
        return step(count, cores, List.of(), 1, true, maxUnavailable);
    }

    private static StepDefinition step(
            int count,
            double cores,
            List<Integer> after,
            int maxPerWorker,
            boolean lasting,
            int maxUnavailable) {
        return new StepDefinition(
                count,
                new Resources(cores, MEMORY_MIB, 0, 0),
                ESTIMATE_MILLIS,
                after,
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                maxPerWorker,
                lasting,
                0,
                false,
                maxUnavailable);
    }
}
