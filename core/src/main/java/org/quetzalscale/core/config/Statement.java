package org.quetzalscale.core.config;

import java.util.Objects;
import org.quetzalscale.core.id.Revision;

/**
 * What an instance reports about its configuration when a sibling asks.
 *
 * @param seen the highest revision that it knows of
 * @param applied the revision of its copy
 * @param validForMillis remaining validity of its copy in milliseconds; 0 if it is not valid
 */
public record Statement(Revision seen, Revision applied, long validForMillis) {
    /** Requires the revisions and a time that is not negative. */
    public Statement {
        Objects.requireNonNull(seen, "seen");
        Objects.requireNonNull(applied, "applied");
        if (validForMillis < 0) {
            throw new IllegalArgumentException("valid for " + validForMillis + " ms");
        }
    }
}
