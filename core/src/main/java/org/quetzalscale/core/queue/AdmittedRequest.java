package org.quetzalscale.core.queue;

import java.util.Optional;
import org.quetzalscale.core.id.WorkerId;

/**
 * An admitted request. It holds a unit of the team's limit and a worker slot until {@link #finish}.
 */
public interface AdmittedRequest {
    /** The worker to send the request to. */
    WorkerId worker();

    /** IP address and port of the worker's target. */
    String address();

    /**
     * Moves the request to another worker after an attempt that may be retried. The request keeps
     * its unit, except that it takes another one if the target may still run the failed attempt.
     * Returns empty if the retry budget is exhausted or no other worker or unit is available; the
     * caller must then still finish this request.
     *
     * @param failed how the attempt on the current worker ended
     */
    Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome failed);

    /**
     * Releases the slot and the unit. The unit is kept until the deadline if the target may still
     * run the request. Must be called exactly once, on the object that the last successful retry
     * returned.
     */
    void finish(AttemptOutcome outcome);
}
