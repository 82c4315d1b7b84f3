package org.quetzalscale.core.config;

import java.util.Objects;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Spec;

/** A declaration and the revision that last changed it. */
public record Versioned(Revision revision, Spec spec) {
    /** Requires both parts. */
    public Versioned {
        Objects.requireNonNull(revision, "revision");
        Objects.requireNonNull(spec, "spec");
    }
}
