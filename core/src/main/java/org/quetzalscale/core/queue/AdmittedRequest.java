package org.quetzalscale.core.queue;

import java.util.Optional;
import org.quetzalscale.core.id.WorkerId;

/** A unit of a team's limit and a place on a worker, held until {@link #finish}. */
public interface AdmittedRequest {
    /** The worker to send the request to. */
    WorkerId worker();

    /** IP number and port of the worker's target. */
    String address();

    /**
     * Moves the assignment to another worker after an attempt that may be repeated; keeps the
     * team's unit. Empty if the retry budget is spent or no other worker takes work; the assignment
     * then still has to be finished.
     *
     * @param failed how the attempt on the present worker ended
     */
    Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome failed);

    /** Gives the unit and the place back. Must be called exactly once, on the last assignment. */
    void finish(AttemptOutcome outcome);
}
