package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.task.JobDefinition;

/**
 * What one instance has accepted since the figures were made, so that not every instance admits the
 * whole remaining share.
 */
public final class LocalAdmissions {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<PoolId, Work> pools = new HashMap<>();
    private final Map<OrganisationId, Integer> jobs = new HashMap<>();
    private final Map<OrganisationId, Share> shares = new HashMap<>();

    /**
     * Work accepted for a pool.
     *
     * @param cores processors that the first steps use
     * @param coreSeconds work of all steps, by the submitters' estimates
     */
    record Work(double cores, double coreSeconds) {
        static final Work NONE = new Work(0, 0);
    }

    /** Part of an organisation's rate that this instance may admit while the rate is used up. */
    private record Share(double tokens, long millis) {
        Share at(long nowMillis, double rate) {
            double refill = rate * (nowMillis - millis) / MILLIS_PER_SECOND;
            return new Share(Math.min(1, tokens + Math.max(0, refill)), nowMillis);
        }
    }

    /** Forgets what newer figures contain. */
    public void figuresReplaced() {
        pools.clear();
        jobs.clear();
    }

    /**
     * Counts an accepted job.
     *
     * @param rate part of the rate of its organisation that falls to this instance, in jobs per
     *     second
     */
    void accepted(JobDefinition job, double rate, long nowMillis) {
        Work before = pools.getOrDefault(job.pool(), Work.NONE);
        double cores = before.cores();
        double coreSeconds = before.coreSeconds();
        for (var step : job.steps()) {
            cores += step.after().isEmpty() ? step.count() * step.need().cores() : 0;
            coreSeconds += step.estimatedCoreSeconds();
        }
        pools.put(job.pool(), new Work(cores, coreSeconds));
        job.organisation()
                .ifPresent(
                        id -> {
                            jobs.merge(id, 1, Integer::sum);
                            Share share = share(id, rate, nowMillis);
                            shares.put(id, new Share(Math.max(0, share.tokens() - 1), nowMillis));
                        });
    }

    Work work(PoolId pool) {
        return pools.getOrDefault(pool, Work.NONE);
    }

    int jobs(OrganisationId id) {
        return jobs.getOrDefault(id, 0);
    }

    /** Whether this instance's part of the rate has a token left. */
    boolean hasToken(OrganisationId id, double rate, long nowMillis) {
        return share(id, rate, nowMillis).tokens() >= 1;
    }

    private Share share(OrganisationId id, double rate, long nowMillis) {
        return shares.getOrDefault(id, new Share(1, nowMillis)).at(nowMillis, rate);
    }
}
