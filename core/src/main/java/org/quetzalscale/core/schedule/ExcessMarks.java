package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Marks the jobs that an organisation submits beyond its declared rate. Answers the load of an
 * organisation that sends several times its rate beside others that keep to theirs.
 *
 * <p>The marks follow from the jobs and the configuration alone, so that a new owner comes to the
 * same ones. Long-running and recurring jobs, jobs that only fill unused processors and jobs
 * without an organisation do not count.
 */
final class ExcessMarks {
    /**
     * Size of the token bucket in seconds of the rate. With at least 5 s, an organisation that
     * sends no more than its rate in any 5 s is never marked, however its jobs cluster within them;
     * the sixth second allows for differences between the clocks of accepting instances.
     */
    static final double BURST_SECONDS = 6;

    private final Map<OrganisationId, RateHistory> histories = new HashMap<>();
    private final Map<JobId, RateHistory.Acceptance> jobs = new HashMap<>();
    private Map<OrganisationId, OrganisationPolicy> organisations = Map.of();

    /** Rates under which jobs were accepted, for organisations that are no longer configured. */
    private final Map<OrganisationId, Double> acceptedRates = new HashMap<>();

    /** Applies the rates of a configuration to all jobs. */
    void updatePolicy(FleetPolicy policy) {
        organisations = policy.organisations();
        histories.forEach((id, history) -> history.updateRate(rate(id)));
    }

    /** Adds an accepted job, which may have ended. Does nothing if the job is known. */
    void add(JobDefinition job) {
        if (job.organisation().isEmpty() || !counts(job) || jobs.containsKey(job.id())) {
            return;
        }
        OrganisationId organisation = job.organisation().get();
        job.terms().ifPresent(terms -> acceptedRates.put(organisation, terms.rate()));
        RateHistory history = histories.computeIfAbsent(organisation, this::createHistory);
        jobs.put(job.id(), history.add(job.acceptedEpochMillis(), job.id()));
    }

    /** Forgets a job whose rows were deleted. */
    void remove(JobId id) {
        RateHistory.Acceptance job = jobs.remove(id);
        if (job != null) {
            job.history.remove(job);
        }
    }

    /** Whether the job was accepted beyond the rate of its organisation. */
    boolean isExcess(JobId id) {
        RateHistory.Acceptance job = jobs.get(id);
        return job != null && job.isExcess();
    }

    /**
     * How many jobs of the organisation would be within its rate if they were accepted at the given
     * time, in Unix milliseconds; empty if it has no rate or no known jobs.
     */
    Optional<Double> tokensAt(OrganisationId id, long epochMillis) {
        return rate(id) > 0
                ? Optional.ofNullable(histories.get(id)).map(h -> h.tokensAt(epochMillis))
                : Optional.empty();
    }

    /**
     * Acceptance time of the first known job in Unix milliseconds, at most the given time; empty if
     * no organisation has a rate.
     */
    Optional<Long> firstEpochMillis(long epochMillis) {
        if (organisations.values().stream().noneMatch(policy -> policy.rate() > 0)) {
            return Optional.empty();
        }
        long first = epochMillis;
        for (RateHistory history : histories.values()) {
            first = Math.min(first, history.firstEpochMillis(epochMillis));
        }
        return Optional.of(first);
    }

    /**
     * Whether jobs of this kind are marked: they end, and run once at the time of their arrival.
     */
    static boolean counts(JobDefinition job) {
        return job.recurrence().count() == 0
                && job.steps().stream().noneMatch(StepDefinition::lasting)
                && !job.steps().stream().allMatch(StepDefinition::filler);
    }

    private RateHistory createHistory(OrganisationId id) {
        RateHistory history = new RateHistory();
        history.updateRate(rate(id));
        return history;
    }

    private double rate(OrganisationId id) {
        OrganisationPolicy organisation = organisations.get(id);
        return organisation == null ? acceptedRates.getOrDefault(id, 0.0) : organisation.rate();
    }
}
