package org.quetzalscale.core.queue;

import java.util.concurrent.CompletableFuture;
import org.quetzalscale.core.id.PoolId;

/** A request that waits for a unit of its team and a slot of its pool. */
final class Waiting {
    final AdmissionRequest request;
    final PoolId pool;
    final long arrivedMillis;
    final CompletableFuture<Assignment> answer = new CompletableFuture<>();

    Waiting(AdmissionRequest request, PoolId pool, long arrivedMillis) {
        this.request = request;
        this.pool = pool;
        this.arrivedMillis = arrivedMillis;
    }
}
