package org.quetzalscale.core.config;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;

/**
 * A write of one resource that is not accepted yet.
 *
 * @param spec the new declaration, or empty to delete the resource
 * @param expected the version that the resource must have: {@link Revision#NONE} if it must not
 *     exist, or empty if any existing version is accepted
 */
public record ResourceEdit(
        Kind kind, String name, Optional<Spec> spec, Optional<Revision> expected) {
    /**
     * Checks the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if it is not valid
     */
    public ResourceEdit {
        Objects.requireNonNull(kind, "kind");
        Names.requireName("name", name);
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(expected, "expected");
    }

    /** Creates a resource that must not exist yet. */
    public static ResourceEdit create(String name, Spec spec) {
        return new ResourceEdit(spec.kind(), name, Optional.of(spec), Optional.of(Revision.NONE));
    }

    /** Replaces an existing resource, of the given version if there is one. */
    public static ResourceEdit replace(String name, Spec spec, Optional<Revision> expected) {
        return new ResourceEdit(spec.kind(), name, Optional.of(spec), expected);
    }

    /** Deletes an existing resource, of the given version if there is one. */
    public static ResourceEdit delete(Kind kind, String name, Optional<Revision> expected) {
        return new ResourceEdit(kind, name, Optional.empty(), expected);
    }
}
