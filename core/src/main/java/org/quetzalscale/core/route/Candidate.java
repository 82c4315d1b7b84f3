package org.quetzalscale.core.route;

import org.quetzalscale.core.id.WorkerId;

/**
 * A worker that the configuration puts to work in a pool.
 *
 * @param slots requests that it runs at once
 */
record Candidate(WorkerId worker, String address, int slots) {}
