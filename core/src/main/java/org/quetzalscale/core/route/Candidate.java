package org.quetzalscale.core.route;

import org.quetzalscale.core.id.WorkerId;

/**
 * A worker that the configuration assigns to a pool and that may receive requests.
 *
 * @param slots number of requests that the worker runs at the same time
 */
record Candidate(WorkerId worker, String address, int slots) {}
