package org.quetzalscale.core.config;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;

/**
 * One accepted change of one resource.
 *
 * @param revision the revision that the change made; it is also the resource's new version
 * @param spec the new declaration, or empty if the resource was deleted
 */
public record Change(Revision revision, Kind kind, String name, Optional<Spec> spec) {
    /** Requires all parts, and a spec of the kind. */
    public Change {
        Objects.requireNonNull(revision, "revision");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        if (spec.isPresent() && spec.get().kind() != kind) {
            throw new IllegalArgumentException("a spec of " + spec.get().kind() + " in " + kind);
        }
    }
}
