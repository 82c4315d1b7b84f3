package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Estimates run times. Submitters' estimates are off by large factors, so they are blended with the
 * mean of the queue's own ends.
 */
final class RunTimeEstimator {
    /** Weight of a new observation in the mean. */
    private static final double LEARNING_RATE = 0.05;

    /** Weight of the submitter's estimate once the queue's mean is known. */
    private static final double ESTIMATE_WEIGHT = 0.3;

    private final Map<QueueId, Double> meanMillis = new HashMap<>();

    void observe(QueueId queue, long runMillis) {
        meanMillis.merge(
                queue, (double) runMillis, (mean, run) -> mean + LEARNING_RATE * (run - mean));
    }

    double estimateMillis(QueueId queue, StepDefinition step) {
        Double mean = meanMillis.get(queue);
        if (mean == null) {
            return step.estimateMillis();
        }
        return ESTIMATE_WEIGHT * step.estimateMillis() + (1 - ESTIMATE_WEIGHT) * mean;
    }

    /** The longest chain of work over the steps of an occurrence, those that are done included. */
    double chainMillis(JobRun job, int occurrence) {
        double[] ends = new double[job.steps(occurrence).size()];
        double longest = 0;
        for (StepRun step : job.steps(occurrence)) {
            ends[step.number] = begin(step, ends) + millis(job, step);
            longest = Math.max(longest, ends[step.number]);
        }
        return longest;
    }

    /** The longest chain of work over the steps that are not done. */
    double remainingChainMillis(JobRun job, int occurrence) {
        double[] ends = new double[job.steps(occurrence).size()];
        double longest = 0;
        for (StepRun step : job.steps(occurrence)) {
            double own = step.isDone() ? 0 : millis(job, step);
            ends[step.number] = begin(step, ends) + own;
            longest = Math.max(longest, ends[step.number]);
        }
        return longest;
    }

    private double millis(JobRun job, StepRun step) {
        return estimateMillis(job.definition.queue(), step.definition);
    }

    private static double begin(StepRun step, double[] ends) {
        double begin = 0;
        for (int earlier : step.definition.after()) {
            begin = Math.max(begin, ends[earlier]);
        }
        return begin;
    }
}
