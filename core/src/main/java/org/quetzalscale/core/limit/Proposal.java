package org.quetzalscale.core.limit;

import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.Row;

/**
 * A change of one limit row that a holder proposes.
 *
 * @param row the row as it was read
 * @param usableBefore units that the holder may use if the change does not take effect
 * @param usableAfter units that it may use once the change took effect
 */
record Proposal(TeamId team, Row row, LimitRow changed, int usableBefore, int usableAfter) {}
