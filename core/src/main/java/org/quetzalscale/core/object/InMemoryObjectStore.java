package org.quetzalscale.core.object;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentSkipListMap;

/** An object store in memory: the default without a platform, and the state of the stand-in. */
public final class InMemoryObjectStore implements ObjectStore {
    private final ConcurrentSkipListMap<String, byte[]> objects = new ConcurrentSkipListMap<>();

    @Override
    public CompletionStage<Void> put(String name, byte[] content) {
        objects.put(name, content.clone());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Optional<byte[]>> get(String name) {
        byte[] content = objects.get(name);
        return CompletableFuture.completedFuture(
                Optional.ofNullable(content == null ? null : content.clone()));
    }

    @Override
    public CompletionStage<List<String>> list(String prefix) {
        return CompletableFuture.completedFuture(
                objects.tailMap(prefix, true).keySet().stream()
                        .takeWhile(name -> name.startsWith(prefix))
                        .toList());
    }
}
