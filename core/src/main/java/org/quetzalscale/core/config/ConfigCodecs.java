package org.quetzalscale.core.config;

import java.util.Objects;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.RowCodec;

/**
 * Codecs of the rows that hold the configuration.
 *
 * @param change rows {@code change/<revision>} and {@code resource/<kind>/<name>}; the latter hold
 *     the change that last wrote the resource
 * @param limit rows {@code limit/<team>}
 */
public record ConfigCodecs(RowCodec<ChangeRecord> change, RowCodec<LimitRow> limit) {
    /** Requires both codecs. */
    public ConfigCodecs {
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(limit, "limit");
    }
}
