package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Estimates run times. Submitters' estimates are off by large factors, so they are combined with
 * the moving average of the run times in the queue.
 */
final class RunTimeEstimator {
    /** Weight of a new observation in the exponential moving average. */
    private static final double LEARNING_RATE = 0.05;

    /** Weight of the submitter's estimate once the queue has an average. */
    private static final double ESTIMATE_WEIGHT = 0.3;

    private final Map<QueueId, Double> meanMillis = new HashMap<>();

    void observe(QueueId queue, long runMillis) {
        meanMillis.merge(
                queue, (double) runMillis, (mean, run) -> mean + LEARNING_RATE * (run - mean));
    }

    /**
     * Estimates the core seconds of many tasks of a queue.
     *
     * @param estimated sum of their submitters' estimates in core seconds
     * @param cores sum of the cores of the tasks
     */
    double coreSeconds(QueueId queue, double estimated, double cores) {
        Double mean = meanMillis.get(queue);
        if (mean == null) {
            return estimated;
        }
        return ESTIMATE_WEIGHT * estimated + (1 - ESTIMATE_WEIGHT) * mean / 1_000 * cores;
    }

    double estimateMillis(QueueId queue, StepDefinition step) {
        Double mean = meanMillis.get(queue);
        if (mean == null) {
            return step.estimateMillis();
        }
        return ESTIMATE_WEIGHT * step.estimateMillis() + (1 - ESTIMATE_WEIGHT) * mean;
    }

    /**
     * Estimated length of the critical path through all steps of an occurrence, including finished
     * ones.
     */
    double criticalPathMillis(JobRun job, int occurrence) {
        double[] ends = new double[job.steps(occurrence).size()];
        double longest = 0;
        for (StepRun step : job.steps(occurrence)) {
            ends[step.number] = earliestStart(step, ends) + millis(job, step);
            longest = Math.max(longest, ends[step.number]);
        }
        return longest;
    }

    /** Estimated length of the critical path through the unfinished steps of an occurrence. */
    double remainingCriticalPathMillis(JobRun job, int occurrence) {
        double[] ends = new double[job.steps(occurrence).size()];
        double longest = 0;
        for (StepRun step : job.steps(occurrence)) {
            double own = step.isDone() ? 0 : millis(job, step);
            ends[step.number] = earliestStart(step, ends) + own;
            longest = Math.max(longest, ends[step.number]);
        }
        return longest;
    }

    private double millis(JobRun job, StepRun step) {
        return estimateMillis(job.definition.queue(), step.definition);
    }

    private static double earliestStart(StepRun step, double[] ends) {
        double earliestStart = 0;
        for (int earlier : step.definition.after()) {
            earliestStart = Math.max(earliestStart, ends[earlier]);
        }
        return earliestStart;
    }
}
