package org.quetzalscale.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/** The candidate workers of each pool in one configuration snapshot. Immutable. */
final class PoolIndex {
    private final ConfigSnapshot snapshot;
    private final Map<PoolId, List<Candidate>> workersByPool;

    private PoolIndex(ConfigSnapshot snapshot, Map<PoolId, List<Candidate>> workersByPool) {
        this.snapshot = snapshot;
        this.workersByPool = workersByPool;
    }

    /** Indexes the workers whose assignment is ACTIVE and whose spec does not request a drain. */
    static PoolIndex of(ConfigSnapshot snapshot) {
        Map<PoolId, List<Candidate>> workersByPool = new HashMap<>();
        for (Map.Entry<String, Versioned> entry : snapshot.all(Kind.ASSIGNMENTS).entrySet()) {
            AssignmentSpec assignment = (AssignmentSpec) entry.getValue().spec();
            WorkerId id = new WorkerId(entry.getKey());
            WorkerSpec worker = snapshot.worker(id).orElse(null);
            if (worker == null || worker.drain() || assignment.phase() != WorkerPhase.ACTIVE) {
                continue;
            }
            workersByPool
                    .computeIfAbsent(assignment.pool(), pool -> new ArrayList<>())
                    .add(new Candidate(id, worker.address(), worker.slots()));
        }
        return new PoolIndex(snapshot, workersByPool);
    }

    /** Whether this is the index of the given snapshot. */
    boolean isIndexOf(ConfigSnapshot other) {
        return snapshot == other;
    }

    /** Candidate workers of a pool, ordered by name. */
    List<Candidate> workers(PoolId pool) {
        return workersByPool.getOrDefault(pool, List.of());
    }
}
