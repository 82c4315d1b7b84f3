package org.quetzalscale.core.config;

import java.util.Objects;
import org.quetzalscale.core.id.Revision;

/**
 * What an instance says about its configuration in answer to a question.
 *
 * @param seen the highest revision that it has heard of
 * @param applied the revision of its copy
 * @param validForMillis time for which its copy is still valid; 0 if it is not
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
