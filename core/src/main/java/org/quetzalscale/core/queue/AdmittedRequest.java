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
     * Moves the request to another worker after an attempt that may be retried. The team's unit is
     * kept. Returns empty if the retry budget is exhausted or no other worker is available; the
     * caller must then still finish this request.
     *
     * @param failed how the attempt on the current worker ended
     */
    Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome failed);

    /**
     * Releases the unit and the slot. Must be called exactly once, on the object that the last
     * retry returned.
     */
    void finish(AttemptOutcome outcome);
}
