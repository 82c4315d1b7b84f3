package org.quetzalscale.core.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;

/**
 * The workers on instances that were up when an owner first read their list, and still are: they
 * may run what earlier owners started. It answers a takeover while instances move between pools:
 * workers that start later have no such runs, and must not delay the jobs of earlier terms.
 */
public final class WorkersAtTakeover {
    private Optional<Set<WorkerId>> workers = Optional.empty();

    /** Updates the workers from a list of all instances that are not on standby. */
    public void update(List<FleetInstance> instances) {
        Set<WorkerId> up =
                instances.stream()
                        .filter(FleetInstance::up)
                        .flatMap(instance -> instance.worker().stream())
                        .collect(Collectors.toCollection(HashSet::new));
        workers.ifPresent(up::retainAll);
        workers = Optional.of(up);
    }

    /** Whether a list has been read. */
    public boolean areKnown() {
        return workers.isPresent();
    }

    /** The workers that have not listed their runs; empty if no list has been read. */
    public List<WorkerId> unlisted(Predicate<WorkerId> hasListedRuns) {
        return workers.orElse(Set.of()).stream()
                .filter(worker -> !hasListedRuns.test(worker))
                .sorted()
                .toList();
    }
}
