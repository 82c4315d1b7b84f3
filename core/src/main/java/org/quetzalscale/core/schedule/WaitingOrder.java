package org.quetzalscale.core.schedule;

import java.util.Comparator;

/**
 * The order in which steps get room when a pool has less than all ask for.
 *
 * <p>Work that ends after its latency objective earns a small part of its worth. First come first
 * served makes every job of a burst late; so jobs that can still meet their objective go before
 * those that can not, and among them the one with the least time to spare.
 */
final class WaitingOrder {
    /** Steps of one rank are ordered by their slack. */
    enum Rank {
        LASTING,
        ON_TIME,
        LATE,
        FILLER
    }

    /**
     * A step that has tasks to start.
     *
     * @param slackMillis how long the step may wait until its job misses the latency objective
     */
    record Candidate(StepRun step, Rank rank, int priority, double slackMillis) {}

    static final Comparator<Candidate> FIRST_SERVED =
            Comparator.comparing(Candidate::rank)
                    .thenComparingInt(Candidate::priority)
                    .thenComparingDouble(Candidate::slackMillis);

    private final RunTimeEstimator estimator;

    WaitingOrder(RunTimeEstimator estimator) {
        this.estimator = estimator;
    }

    Candidate candidate(StepRun step, QueuePolicy queue, long dueMillis, long nowMillis) {
        int priority = queue == null ? 0 : queue.priority();
        if (step.definition.filler()) {
            return new Candidate(step, Rank.FILLER, priority, dueMillis);
        }
        if (step.definition.lasting()) {
            return new Candidate(step, Rank.LASTING, priority, dueMillis);
        }
        double stretch = queue == null ? 1 : queue.stretch();
        double target = queue == null ? 0 : queue.targetMillis();
        double objective = stretch * estimator.chainMillis(step.job, step.occurrence) + target;
        double needed = estimator.remainingChainMillis(step.job, step.occurrence);
        double slack = dueMillis + objective - nowMillis - needed;
        if (slack >= 0) {
            return new Candidate(step, Rank.ON_TIME, priority, slack);
        }
        return new Candidate(step, Rank.LATE, priority, needed);
    }
}
