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

/** The workers of each pool that one configuration snapshot puts to work. Immutable. */
final class PoolIndex {
    private final ConfigSnapshot snapshot;
    private final Map<PoolId, List<Candidate>> pools;

    private PoolIndex(ConfigSnapshot snapshot, Map<PoolId, List<Candidate>> pools) {
        this.snapshot = snapshot;
        this.pools = pools;
    }

    /** Indexes a snapshot: workers whose assignment is ACTIVE and whose declaration is no drain. */
    static PoolIndex of(ConfigSnapshot snapshot) {
        Map<PoolId, List<Candidate>> pools = new HashMap<>();
        for (Map.Entry<String, Versioned> entry : snapshot.all(Kind.ASSIGNMENTS).entrySet()) {
            AssignmentSpec assignment = (AssignmentSpec) entry.getValue().spec();
            WorkerId id = new WorkerId(entry.getKey());
            WorkerSpec worker = snapshot.worker(id).orElse(null);
            if (worker == null || worker.drain() || assignment.phase() != WorkerPhase.ACTIVE) {
                continue;
            }
            pools.computeIfAbsent(assignment.pool(), pool -> new ArrayList<>())
                    .add(new Candidate(id, worker.address(), worker.slots()));
        }
        return new PoolIndex(snapshot, pools);
    }

    /** Whether this is the index of the given snapshot. */
    boolean isOf(ConfigSnapshot other) {
        return snapshot == other;
    }

    /** Workers of a pool, in name order. */
    List<Candidate> workers(PoolId pool) {
        return pools.getOrDefault(pool, List.of());
    }
}
