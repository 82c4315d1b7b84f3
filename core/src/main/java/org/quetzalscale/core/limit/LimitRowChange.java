package org.quetzalscale.core.limit;

import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.Row;

/**
 * A planned change of one limit row.
 *
 * @param row the row as it was read
 * @param changed the new value of the row
 * @param usableBefore units that the holder may use unless the commit takes effect
 * @param usableAfter units that the holder may use once the commit has taken effect
 */
record LimitRowChange(TeamId team, Row row, LimitRow changed, int usableBefore, int usableAfter) {}
