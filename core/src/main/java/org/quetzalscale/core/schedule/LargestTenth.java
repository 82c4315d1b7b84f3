package org.quetzalscale.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Protects the largest tenth of the jobs of each queue while they are served on time much less
 * often than the queue's jobs. The largest set of jobs that can be on time leaves out just these.
 */
final class LargestTenth {
    /** Number of jobs of a queue from whose sizes the tenth is determined. */
    private static final int SAMPLE = 100;

    /** Number of large jobs after which a result counts half. */
    private static final double DECAY = Math.pow(0.5, 1.0 / 20);

    private static final int TENTH = 10;

    /** The same period for all jobs of the queue. */
    private static final double JOBS_DECAY = Math.pow(DECAY, 1.0 / TENTH);

    /** Half as often is required. The margin covers jobs that become late although protected. */
    private static final double MIN_RATIO = 0.75;

    /** Sizes and results of the jobs of a queue. */
    private static final class Kind {
        private final Deque<Double> recent = new ArrayDeque<>();
        private double largeJobs;
        private double largeOnTime;
        private double jobs;
        private double onTime;

        private boolean isLarge(double work) {
            return recent.stream().filter(other -> other >= work).count() <= recent.size() / TENTH;
        }

        private void add(double work) {
            recent.addLast(work);
            if (recent.size() > SAMPLE) {
                recent.removeFirst();
            }
        }

        private void record(boolean large, boolean servedOnTime) {
            if (large) {
                largeJobs = largeJobs * DECAY + 1;
                largeOnTime = largeOnTime * DECAY + (servedOnTime ? 1 : 0);
            }
            jobs = jobs * JOBS_DECAY + 1;
            onTime = onTime * JOBS_DECAY + (servedOnTime ? 1 : 0);
        }

        private boolean neglectsLarge() {
            return largeOnTime * jobs < MIN_RATIO * onTime * largeJobs;
        }
    }

    private final Map<QueueId, Kind> kinds = new HashMap<>();

    /** Jobs that are not late and have not ended, and whether they are large. */
    private final Map<JobRun, Boolean> open = new HashMap<>();

    /** Records that a job waits on time. Does nothing if it is known. */
    void recordArrival(JobRun job) {
        if (open.containsKey(job)) {
            return;
        }
        double work = 0;
        for (StepDefinition step : job.definition.steps()) {
            work += step.estimatedCoreSeconds();
        }
        Kind kind = kind(job);
        open.put(job, kind.isLarge(work));
        kind.add(work);
    }

    /** Records that a job has become late. */
    void recordLate(JobRun job) {
        Boolean large = open.remove(job);
        if (large != null) {
            kind(job).record(large, false);
        }
    }

    /** Records the jobs that have ended without becoming late. */
    void update() {
        Iterator<Map.Entry<JobRun, Boolean>> entries = open.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<JobRun, Boolean> entry = entries.next();
            if (entry.getKey().phase.isFinal()) {
                kind(entry.getKey()).record(entry.getValue(), true);
                entries.remove();
            }
        }
    }

    /** Whether the job is left out only if no other is left. */
    boolean isProtected(JobRun job) {
        return open.getOrDefault(job, false) && kind(job).neglectsLarge();
    }

    private Kind kind(JobRun job) {
        return kinds.computeIfAbsent(job.definition.queue(), queue -> new Kind());
    }
}
