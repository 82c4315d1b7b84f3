package org.quetzalscale.core.schedule;

import java.util.TreeSet;
import org.quetzalscale.core.id.JobId;

/**
 * The accepted jobs of an organisation in the order of their acceptance times, with a token bucket
 * that is computed from this order. Rows may arrive in another order: a late one changes the marks
 * of the jobs that were accepted after it, so that every owner comes to the same marks.
 *
 * <p>Acceptance times are wall clock times of several instances. They only order the jobs and
 * refill the bucket; no time is compared with a clock of this instance.
 */
final class RateHistory {
    /** Jobs after which the oldest ones keep their marks and no longer count. */
    private static final int MAX_JOBS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Tolerance of comparisons, because refills have rounding errors. */
    private static final double ROUNDING = 1e-9;

    private final TreeSet<Acceptance> jobs = new TreeSet<>();
    private double rate;

    /** State of the bucket before the first job; full if no job was dropped yet. */
    private long baseEpochMillis = Long.MIN_VALUE;

    private double baseTokens = Double.MAX_VALUE;

    /** The first job whose mark has to be computed again; null if all are current. */
    private Acceptance staleFrom;

    /** An accepted job. Its mark and the tokens left after it are current unless it is stale. */
    static final class Acceptance implements Comparable<Acceptance> {
        final RateHistory history;
        private final long epochMillis;
        private final JobId id;
        private boolean excess;
        private double tokens;
        private boolean removed;

        Acceptance(RateHistory history, long epochMillis, JobId id) {
            this.history = history;
            this.epochMillis = epochMillis;
            this.id = id;
        }

        /** Whether the job was accepted beyond the rate. */
        boolean isExcess() {
            history.refresh();
            return excess;
        }

        @Override
        public int compareTo(Acceptance other) {
            int order = Long.compare(epochMillis, other.epochMillis);
            return order != 0 ? order : id.value().compareTo(other.id.value());
        }
    }

    /** Changes the rate, in jobs per second, for all jobs; 0 if none is declared. */
    void updateRate(double newRate) {
        if (newRate != rate) {
            rate = newRate;
            staleFrom = jobs.isEmpty() ? null : jobs.first();
        }
    }

    Acceptance add(long epochMillis, JobId id) {
        Acceptance added = new Acceptance(this, epochMillis, id);
        jobs.add(added);
        if (staleFrom == null || added.compareTo(staleFrom) < 0) {
            staleFrom = added;
        }
        if (jobs.size() > MAX_JOBS) {
            dropFirst();
        }
        return added;
    }

    /** Forgets a job when the jobs that were accepted before it are forgotten too. */
    void remove(Acceptance job) {
        job.removed = true;
        while (!jobs.isEmpty() && jobs.first().removed) {
            dropFirst();
        }
    }

    /** Acceptance time of the first job in Unix milliseconds, or the default if there is none. */
    long firstEpochMillis(long defaultValue) {
        return jobs.isEmpty() ? defaultValue : jobs.first().epochMillis;
    }

    /** Tokens at a time: how many jobs accepted then would be within the rate. */
    double tokensAt(long epochMillis) {
        refresh();
        Acceptance before = null;
        for (Acceptance job : jobs.descendingSet()) {
            if (job.epochMillis <= epochMillis) {
                before = job;
                break;
            }
        }
        return before == null
                ? refilled(baseTokens, baseEpochMillis, epochMillis)
                : refilled(before.tokens, before.epochMillis, epochMillis);
    }

    private void dropFirst() {
        refresh();
        Acceptance first = jobs.pollFirst();
        baseEpochMillis = first.epochMillis;
        baseTokens = first.tokens;
    }

    private void refresh() {
        if (staleFrom == null) {
            return;
        }
        Acceptance before = jobs.lower(staleFrom);
        long epochMillis = before == null ? baseEpochMillis : before.epochMillis;
        double tokens = before == null ? baseTokens : before.tokens;
        for (Acceptance job : jobs.tailSet(staleFrom)) {
            tokens = refilled(tokens, epochMillis, job.epochMillis);
            job.excess = rate > 0 && tokens < 1 - ROUNDING;
            tokens = job.excess || rate <= 0 ? tokens : tokens - 1;
            job.tokens = tokens;
            epochMillis = job.epochMillis;
        }
        staleFrom = null;
    }

    private double refilled(double tokens, long fromEpochMillis, long toEpochMillis) {
        double seconds = ((double) toEpochMillis - fromEpochMillis) / MILLIS_PER_SECOND;
        double capacity = Math.max(1, rate * ExcessMarks.BURST_SECONDS);
        return Math.min(capacity, tokens + rate * Math.max(0, seconds));
    }
}
