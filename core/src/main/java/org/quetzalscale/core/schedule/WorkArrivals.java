package org.quetzalscale.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.StepDefinition;

/**
 * The arrivals of work by queue, derived from the accepted jobs and their acceptance times.
 *
 * <p>Lasting and filler steps and jobs with due times are not counted: they do not come in bursts
 * of arrivals.
 */
final class WorkArrivals {
    private final Map<QueueId, WorkSeries> queues = new LinkedHashMap<>();

    /** Adds a job, which may have ended. */
    void add(JobDefinition job, long acceptedMillis) {
        if (job.recurrence().count() > 0) {
            return;
        }
        double coreSeconds = 0;
        double cores = 0;
        for (StepDefinition step : job.steps()) {
            if (!step.lasting() && !step.filler()) {
                coreSeconds += step.estimatedCoreSeconds();
                cores += step.count() * step.need().cores();
            }
        }
        if (cores > 0) {
            queues.computeIfAbsent(job.queue(), queue -> new WorkSeries())
                    .add(WorkSeries.binOf(acceptedMillis), coreSeconds, cores);
        }
    }

    Map<QueueId, WorkSeries> queues() {
        return queues;
    }
}
