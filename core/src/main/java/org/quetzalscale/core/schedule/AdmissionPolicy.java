package org.quetzalscale.core.schedule;

import java.util.Optional;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Decides on arrival whether a job is accepted. Answers the load of more jobs than the fleet can
 * serve, in which hundreds of them would be late for every organisation alike.
 *
 * <p>Only what is certain is refused: missing or old figures, a job that is never late, or a pool
 * with free capacity mean that the job is accepted. The size of a job does not count against it, so
 * that large jobs are not refused more often than small ones.
 */
public final class AdmissionPolicy {
    /** Figures of this age or older refuse nobody. */
    public static final long MAX_AGE_MILLIS = 2_000;

    /**
     * A backlog that the pool completes in a shorter time is no overload: an instance that moves
     * into the pool takes about as long.
     */
    private static final double MIN_BACKLOG_SECONDS = 2;

    /** Multiple of the latency objective after which a job is worth nothing. */
    private static final double LATE_FACTOR = 3;

    /** Run time estimates may be off by this factor. */
    private static final double ESTIMATE_ERROR = 2;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_RETRY_SECONDS = 30;

    /** Multiplicative hashing, because ids that follow each other have similar hash codes. */
    private static final int HASH_FACTOR = 0x9E37_79B1;

    private AdmissionPolicy() {}

    /** Why a job is refused. */
    public enum Reason {
        /** The job is beyond the declared rate of its organisation. */
        EXCESS,
        /** The job would certainly end too late to be worth anything. */
        TOO_LATE,
        /** The owner holds as many jobs as it can. */
        FLEET_FULL
    }

    /**
     * What an instance knows of the fleet.
     *
     * @param ageMillis upper bound of the age of the figures
     * @param local what this instance has accepted since they were made
     * @param instances number of instances that accept jobs, at least 1
     */
    public record Known(
            LoadFigures figures, long ageMillis, LocalAdmissions local, int instances) {}

    /**
     * A refusal with the figures that decided it.
     *
     * @param retryAfterSeconds whole seconds after which the caller should send again
     * @param tokens jobs of the organisation that were within its rate
     * @param waitSeconds expected wait of a job of this priority within the rate
     * @param limitSeconds wait after which the job is worth nothing
     */
    public record Refusal(
            Reason reason,
            long retryAfterSeconds,
            double tokens,
            double waitSeconds,
            double limitSeconds,
            double backlogCoreSeconds,
            double completedPerSecond,
            long ageMillis) {
        /** The refusal of a job that the owner cannot hold. */
        public static Refusal fleetFull(long ageMillis) {
            return new Refusal(
                    Reason.FLEET_FULL, FleetMemory.RETRY_AFTER_SECONDS, 0, 0, 0, 0, 0, ageMillis);
        }
    }

    /**
     * Decides on a job and counts it if it is accepted.
     *
     * @param known empty if there are no figures
     * @return the refusal; empty if the job is accepted
     */
    public static Optional<Refusal> decide(
            JobDefinition job, FleetPolicy policy, Optional<Known> known, long nowMillis) {
        double rate = rate(job, policy);
        Optional<Refusal> refusal =
                known.filter(facts -> facts.ageMillis() < MAX_AGE_MILLIS && ExcessMarks.counts(job))
                        .flatMap(facts -> decide(job, policy, rate, facts, nowMillis));
        if (refusal.isEmpty()) {
            known.ifPresent(
                    facts -> facts.local().accepted(job, rate / facts.instances(), nowMillis));
        }
        return refusal;
    }

    /** Whether the configuration asks for admission: an organisation declares a rate. */
    public static boolean isEnabled(FleetPolicy policy) {
        return policy.organisations().values().stream().anyMatch(known -> known.rate() > 0);
    }

    private static Optional<Refusal> decide(
            JobDefinition job, FleetPolicy policy, double rate, Known known, long nowMillis) {
        LoadFigures.PoolLoad pool = known.figures().pools().get(job.pool());
        QueuePolicy queue = policy.queues().get(job.queue());
        if (pool == null || queue == null || hasCapacity(pool, job, known)) {
            return Optional.empty();
        }
        double ahead = certainBacklog(pool.withinCoreSeconds(queue.priority()), pool, job, known);
        double wait = ahead / pool.completedPerSecond();
        double limit = LATE_FACTOR * objectiveMillis(job, queue) / MILLIS_PER_SECOND;
        Reason reason;
        double surplus;
        if (isExcess(job, rate, known, nowMillis)) {
            reason = Reason.EXCESS;
            surplus = pool.totalCoreSeconds() - MIN_BACKLOG_SECONDS * pool.completedPerSecond();
        } else if (limit > 0 && wait > ESTIMATE_ERROR * limit) {
            reason = Reason.TOO_LATE;
            surplus = ahead - ESTIMATE_ERROR * limit * pool.completedPerSecond();
        } else {
            return Optional.empty();
        }
        return Optional.of(
                new Refusal(
                        reason,
                        retryAfterSeconds(job, surplus, pool),
                        tokens(job, known),
                        wait,
                        limit,
                        pool.totalCoreSeconds(),
                        pool.completedPerSecond(),
                        known.ageMillis()));
    }

    private static boolean hasCapacity(LoadFigures.PoolLoad pool, JobDefinition job, Known known) {
        double accepted = known.instances() * known.local().work(job.pool()).cores();
        double total = backlog(pool.totalCoreSeconds(), pool, job, known);
        return pool.completedPerSecond() <= 0
                || pool.freeCores() - accepted > 0
                || total < MIN_BACKLOG_SECONDS * pool.completedPerSecond();
    }

    /** The published backlog, changed by what has arrived and been completed since. */
    private static double backlog(
            double published, LoadFigures.PoolLoad pool, JobDefinition job, Known known) {
        double accepted = known.instances() * known.local().work(job.pool()).coreSeconds();
        double completed = pool.completedPerSecond() * known.ageMillis() / MILLIS_PER_SECOND;
        return Math.max(0, published + accepted - completed);
    }

    /**
     * What certainly waits before the job: without what other instances may have accepted since the
     * figures were made, of which this one knows nothing.
     */
    private static double certainBacklog(
            double published, LoadFigures.PoolLoad pool, JobDefinition job, Known known) {
        double completed = pool.completedPerSecond() * known.ageMillis() / MILLIS_PER_SECOND;
        return Math.max(0, published + known.local().work(job.pool()).coreSeconds() - completed);
    }

    private static boolean isExcess(JobDefinition job, double rate, Known known, long nowMillis) {
        return rate > 0
                && tokens(job, known) < 1
                && !known.local()
                        .hasToken(
                                job.organisation().orElseThrow(),
                                rate / known.instances(),
                                nowMillis);
    }

    private static double tokens(JobDefinition job, Known known) {
        return job.organisation()
                .filter(known.figures().tokens()::containsKey)
                .map(id -> known.figures().tokens().get(id) - known.local().jobs(id))
                .orElse(Double.MAX_VALUE);
    }

    private static double rate(JobDefinition job, FleetPolicy policy) {
        return job.organisation()
                .map(policy.organisations()::get)
                .map(OrganisationPolicy::rate)
                .orElse(0.0);
    }

    private static double objectiveMillis(JobDefinition job, QueuePolicy queue) {
        return queue.stretch() * criticalPathMillis(job) + queue.targetMillis();
    }

    private static double criticalPathMillis(JobDefinition job) {
        double[] ends = new double[job.steps().size()];
        double longest = 0;
        for (int number = 0; number < ends.length; number++) {
            StepDefinition step = job.steps().get(number);
            double start = 0;
            for (int earlier : step.after()) {
                start = Math.max(start, ends[earlier]);
            }
            ends[number] = start + step.estimateMillis();
            longest = Math.max(longest, ends[number]);
        }
        return longest;
    }

    /**
     * Time in which the surplus of the backlog shrinks away. It is spread by the job's id over at
     * least two seconds, so that callers who were refused together do not return together.
     */
    private static long retryAfterSeconds(
            JobDefinition job, double surplus, LoadFigures.PoolLoad pool) {
        double shrink =
                pool.shrinkPerSecond() > 0 ? pool.shrinkPerSecond() : pool.completedPerSecond();
        double seconds = Math.max(1, Math.min(MAX_RETRY_SECONDS, surplus / shrink));
        double spread = (job.id().hashCode() * HASH_FACTOR >>> 16) / (double) 0x1_0000;
        return (long) (seconds + spread * Math.max(2, seconds));
    }
}
