package org.quetzalscale.core.object;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object store. Stages fail with the same errors as those of the transactional
 * table. A put may be repeated, because it writes the same bytes again.
 */
public interface ObjectStore {
    /** Writes an object, replacing one of the same name. */
    CompletionStage<Void> put(String name, byte[] content);

    /** Reads an object; empty if there is none of this name. */
    CompletionStage<Optional<byte[]>> get(String name);

    /** Lists the names of all objects that start with the prefix, in ascending order. */
    CompletionStage<List<String>> list(String prefix);
}
