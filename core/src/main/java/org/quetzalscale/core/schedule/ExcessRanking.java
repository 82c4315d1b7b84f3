package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;

/**
 * Ranks the jobs beyond the rate of their organisations behind all jobs within it, by weighted
 * max-min fairness: the organisation that uses the smallest dominant share of the fleet, divided by
 * its weight, comes first. Answers the load of several organisations that exceed their rates at the
 * same time.
 */
final class ExcessRanking {
    private final FleetState fleet;
    private final ExcessMarks marks;

    ExcessRanking(FleetState fleet, ExcessMarks marks) {
        this.fleet = fleet;
        this.marks = marks;
    }

    /**
     * Returns the candidates with those of excess jobs moved to rank EXCESS. The candidates of an
     * organisation keep their order; each is ranked by the share that the organisation uses when
     * all its earlier ones have started.
     */
    List<StepRanking.Candidate> apply(List<StepRanking.Candidate> candidates, FleetPolicy policy) {
        List<StepRanking.Candidate> ranked = new ArrayList<>(candidates.size());
        Map<OrganisationId, List<StepRanking.Candidate>> excess = new LinkedHashMap<>();
        for (StepRanking.Candidate candidate : candidates) {
            if (isExcess(candidate)) {
                excess.computeIfAbsent(
                                candidate.step().job.definition.organisation().orElseThrow(),
                                id -> new ArrayList<>())
                        .add(candidate);
            } else {
                ranked.add(candidate);
            }
        }
        if (!excess.isEmpty()) {
            Resources capacity = capacity();
            Map<OrganisationId, Resources> planned = needs(ranked);
            excess.forEach(
                    (id, own) -> {
                        Resources before =
                                fleet.usage.used(id).plus(planned.getOrDefault(id, Resources.NONE));
                        ranked.addAll(byShare(own, before, capacity, weight(own.get(0), policy)));
                    });
        }
        return ranked;
    }

    private boolean isExcess(StepRanking.Candidate candidate) {
        boolean finite =
                candidate.rank() == StepRanking.Rank.ON_TIME
                        || candidate.rank() == StepRanking.Rank.LATE;
        return finite && marks.isExcess(candidate.step().job.definition.id());
    }

    /** What starts before any excess job, by organisation, if there is enough capacity. */
    private static Map<OrganisationId, Resources> needs(List<StepRanking.Candidate> earlier) {
        Map<OrganisationId, Resources> needs = new HashMap<>();
        for (StepRanking.Candidate candidate : earlier) {
            if (candidate.rank() != StepRanking.Rank.FILLER) {
                candidate
                        .step()
                        .job
                        .definition
                        .organisation()
                        .ifPresent(id -> needs.merge(id, need(candidate), Resources::plus));
            }
        }
        return needs;
    }

    private static List<StepRanking.Candidate> byShare(
            List<StepRanking.Candidate> candidates,
            Resources usedBefore,
            Resources capacity,
            double weight) {
        candidates.sort(StepRanking.DISPATCH_ORDER);
        List<StepRanking.Candidate> ranked = new ArrayList<>(candidates.size());
        Resources used = usedBefore;
        for (StepRanking.Candidate candidate : candidates) {
            double share = used.dominantPart(capacity) / weight;
            ranked.add(
                    new StepRanking.Candidate(candidate.step(), StepRanking.Rank.EXCESS, 0, share));
            used = used.plus(need(candidate));
        }
        return ranked;
    }

    private static Resources need(StepRanking.Candidate candidate) {
        int waiting = 0;
        for (TrackedTask task : candidate.step().tasks) {
            waiting += task.state == TrackedTask.State.WAITING ? 1 : 0;
        }
        return candidate.step().definition.need().times(waiting);
    }

    private Resources capacity() {
        Resources capacity = Resources.NONE;
        for (WorkerState worker : fleet.workers.values()) {
            capacity = capacity.plus(worker.entry.capacity());
        }
        return capacity;
    }

    private static double weight(StepRanking.Candidate candidate, FleetPolicy policy) {
        return policy.organisationOf(candidate.step().job.definition)
                .map(OrganisationPolicy::weight)
                .filter(weight -> weight > 0)
                .orElse(1.0);
    }
}
