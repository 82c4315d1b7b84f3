package org.quetzalscale.core.schedule;

import java.util.Comparator;

/**
 * Ranks the steps that compete for the workers of a pool.
 *
 * <p>Work that ends after its latency objective is worth only a small part of its full value. First
 * come, first served makes every job of a burst late. Therefore jobs that can still meet their
 * objective come before those that cannot, and among them the one with the least slack comes first.
 */
final class StepRanking {
    /**
     * Ranks in scheduling order. Steps of the same rank are ordered by the priority of their queue,
     * then by slack.
     */
    enum Rank {
        LASTING,
        ON_TIME,
        /** Could meet the objective, but {@link OnTimeSelection} leaves the job out. */
        DEFERRED,
        LATE,
        /** Jobs beyond the declared rate of their organisation, see {@link ExcessRanking}. */
        EXCESS,
        FILLER
    }

    /**
     * A step with tasks to start.
     *
     * @param slackMillis how long the step can wait before its job misses the latency objective;
     *     the remaining work of a late job; the due time of lasting and filler steps; the weighted
     *     share of its organisation for an excess step
     */
    record Candidate(StepRun step, Rank rank, int priority, double slackMillis) {
        Candidate withRank(Rank other) {
            return new Candidate(step, other, priority, slackMillis);
        }
    }

    static final Comparator<Candidate> DISPATCH_ORDER =
            Comparator.comparing(Candidate::rank)
                    .thenComparingInt(Candidate::priority)
                    .thenComparingDouble(Candidate::slackMillis);

    private final RunTimeEstimator estimator;

    StepRanking(RunTimeEstimator estimator) {
        this.estimator = estimator;
    }

    Candidate candidate(StepRun step, QueuePolicy queue, long dueMillis, long nowMillis) {
        int priority = queue.priority();
        if (step.definition.filler()) {
            return new Candidate(step, Rank.FILLER, priority, dueMillis);
        }
        if (step.definition.lasting()) {
            return new Candidate(step, Rank.LASTING, priority, dueMillis);
        }
        double path = estimator.criticalPathMillis(step.job, step.occurrence);
        double objective = queue.stretch() * path + queue.targetMillis();
        double needed = estimator.remainingCriticalPathMillis(step.job, step.occurrence);
        double slack = dueMillis + objective - nowMillis - needed;
        if (slack >= 0) {
            return new Candidate(step, Rank.ON_TIME, priority, slack);
        }
        return new Candidate(step, Rank.LATE, priority, needed);
    }
}
