package org.quetzalscale.core.queue;

import java.util.concurrent.CompletionStage;

/** Decides when a request may start and on which worker. */
public interface AdmissionController {
    /**
     * Waits for a unit of the team's limit and a worker of the queue's pool.
     *
     * <p>The stage fails with a {@link org.quetzalscale.core.error.QuetzalscaleException} whose run
     * state is NOT_RUN: QUEUE_UNKNOWN, CONFIG_STALE, LIMIT_REACHED, QUEUE_FULL, DEADLINE_EXCEEDED
     * or NO_WORKER_AVAILABLE. Cancelling the returned future's {@code toCompletableFuture}
     * withdraws the request from the queue.
     */
    CompletionStage<AdmittedRequest> admit(AdmissionRequest request);
}
