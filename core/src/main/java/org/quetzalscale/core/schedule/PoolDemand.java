package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.task.StepDefinition;

/** Estimates how many processors a pool needs for its lasting tasks and its known work. */
final class PoolDemand {
    /** Time in which the known work should be completed. */
    private static final double HORIZON_SECONDS = 1.0;

    /**
     * An occurrence counts from this long before it is due, because moving instances takes time.
     */
    static final long LEAD_MILLIS = 2_000;

    /** Mean fraction of its run time that a running task still needs. */
    private static final double RUNNING_REMAINDER = 0.5;

    private final FleetState fleet;
    private final RunTimeEstimator estimator;

    PoolDemand(FleetState fleet, RunTimeEstimator estimator) {
        this.fleet = fleet;
        this.estimator = estimator;
    }

    /**
     * Returns the processors that the pool needs.
     *
     * @param epochMillis wall clock in Unix milliseconds, for jobs with due times
     */
    double requiredCores(PoolId pool, long epochMillis) {
        double lasting = 0;
        double coreSeconds = 0;
        for (JobRun job : fleet.activeJobs(pool)) {
            for (StepRun step : job.stepsDueBy(epochMillis + LEAD_MILLIS)) {
                if (step.isDone() || step.definition.filler()) {
                    continue;
                }
                if (step.definition.lasting()) {
                    lasting += step.tasks.size() * step.definition.need().cores();
                } else {
                    coreSeconds += coreSeconds(job, step);
                }
            }
        }
        return lasting + coreSeconds / HORIZON_SECONDS;
    }

    private double coreSeconds(JobRun job, StepRun step) {
        StepDefinition definition = step.definition;
        double seconds = estimator.estimateMillis(job.definition.queue(), definition) / 1_000.0;
        double tasks = 0;
        for (TrackedTask task : step.tasks) {
            if (task.state == TrackedTask.State.WAITING) {
                tasks += 1;
            } else if (task.isAssigned()) {
                tasks += RUNNING_REMAINDER;
            }
        }
        return tasks * definition.need().cores() * seconds;
    }
}
