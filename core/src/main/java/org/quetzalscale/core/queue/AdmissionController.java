package org.quetzalscale.core.queue;

import java.util.concurrent.CompletionStage;

/** Decides when a request may start and which worker runs it. */
public interface AdmissionController {
    /**
     * Admits a request once a unit of the team's limit and a worker of the queue's pool are free.
     *
     * <p>If the request is rejected, the stage fails with a {@link
     * org.quetzalscale.core.error.QuetzalscaleException} of kind QUEUE_UNKNOWN, CONFIG_STALE,
     * LIMIT_REACHED, QUEUE_FULL, DEADLINE_EXCEEDED or NO_WORKER_AVAILABLE, and run state NOT_RUN.
     * Cancelling the stage's {@code toCompletableFuture} removes the request from the queue.
     */
    CompletionStage<AdmittedRequest> admit(AdmissionRequest request);
}
