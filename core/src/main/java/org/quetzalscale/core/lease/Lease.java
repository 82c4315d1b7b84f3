package org.quetzalscale.core.lease;

import org.quetzalscale.core.table.Condition;

/**
 * A lease that this instance holds.
 *
 * @param fence condition to add to every write that the lease protects. It fails after another
 *     instance has acquired the lease, however late the write arrives
 * @param generation increases with each acquisition by any instance; 0 for the first one
 */
public record Lease(Condition fence, long generation) {}
