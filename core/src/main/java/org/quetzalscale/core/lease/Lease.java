package org.quetzalscale.core.lease;

import org.quetzalscale.core.table.Condition;

/**
 * A lease that this instance holds.
 *
 * @param fence a condition that every write made under the lease carries; it fails once another
 *     instance took the lease, however late the write arrives
 * @param generation rises with each acquisition by any instance; 0 for the first one
 */
public record Lease(Condition fence, long generation) {}
