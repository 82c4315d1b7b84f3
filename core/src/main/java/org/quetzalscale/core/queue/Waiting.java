package org.quetzalscale.core.queue;

import java.util.concurrent.CompletableFuture;
import org.quetzalscale.core.id.PoolId;

/** A request that waits for a unit of its team and a slot of its pool. */
final class Waiting {
    final AdmissionRequest request;
    final PoolId pool;
    final CompletableFuture<AdmittedRequest> answer = new CompletableFuture<>();

    /** Whether it is in its pool's queue. Guarded by the lock of the pool's shard. */
    boolean isQueued;

    /** Weight of its class. */
    final double share;

    Waiting(AdmissionRequest request, PoolId pool, double share) {
        this.request = request;
        this.pool = pool;
        this.share = share;
    }
}
