package org.quetzalscale.core.queue;

import java.util.concurrent.CompletableFuture;
import org.quetzalscale.core.id.PoolId;

/** A request that waits for a unit of its team's limit and a worker slot of its pool. */
final class PendingRequest {
    final AdmissionRequest request;
    final PoolId pool;
    final CompletableFuture<AdmittedRequest> admitted = new CompletableFuture<>();

    /** Whether the request is in the queue of its pool. Guarded by the lock of the pool's shard. */
    boolean isQueued;

    /** Weight of its team among the teams of the pool. */
    final double share;

    PendingRequest(AdmissionRequest request, PoolId pool, double share) {
        this.request = request;
        this.pool = pool;
        this.share = share;
    }
}
