package org.quetzalscale.core.object;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object store. Stages fail as those of the transactional table do; a put may be
 * repeated, since it writes the same bytes.
 */
public interface ObjectStore {
    /** Writes an object, replacing one of the same name. */
    CompletionStage<Void> put(String name, byte[] content);

    /** Reads an object. */
    CompletionStage<Optional<byte[]>> get(String name);

    /** Names of all objects that start with the prefix, in order. */
    CompletionStage<List<String>> list(String prefix);
}
