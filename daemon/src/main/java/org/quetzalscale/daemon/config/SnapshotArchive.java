package org.quetzalscale.daemon.config;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.object.ObjectStore;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/**
 * Snapshots in the object store, from which an instance can start while the table is unavailable.
 * They only provide the content: the copy still needs a freshness check to become valid.
 */
final class SnapshotArchive {
    private static final String PREFIX = "config/snapshot/";

    /** The store has no delete, so snapshots rotate through a fixed set of names. */
    private static final int SLOTS = 4;

    private static final long INTERVAL_REVISIONS = 100;
    private static final long INTERVAL_MILLIS = 60_000;

    private final ObjectStore objects;
    private final TimeSource time;
    private Revision stored = Revision.NONE;
    private long storedMillis;
    private long nextSlot;

    SnapshotArchive(ObjectStore objects, TimeSource time) {
        this.objects = objects;
        this.time = time;
        this.storedMillis = time.nowMillis();
    }

    /** Stores the snapshot if enough changed or enough time passed since the last one. */
    synchronized void storeIfDue(Supplier<ConfigSnapshot> latest) {
        ConfigSnapshot snapshot = latest.get();
        long newRevisions = snapshot.revision().value() - stored.value();
        boolean overdue = time.nowMillis() - storedMillis >= INTERVAL_MILLIS;
        if (newRevisions <= 0 || (newRevisions < INTERVAL_REVISIONS && !overdue)) {
            return;
        }
        stored = snapshot.revision();
        storedMillis = time.nowMillis();
        String name = PREFIX + nextSlot++ % SLOTS;
        objects.put(name, SnapshotJson.write(snapshot))
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                Logger.warn(
                                        "cannot store the snapshot of revision {}: {}",
                                        snapshot.revision(),
                                        QuetzalscaleException.from(failure).getMessage());
                            }
                        });
    }

    /** Loads the readable stored snapshot of the highest revision, or empty if there is none. */
    CompletionStage<Optional<ConfigSnapshot>> load() {
        return objects.list(PREFIX)
                .thenCompose(this::loadAll)
                .exceptionally(
                        failure -> {
                            Logger.info(
                                    "cannot load a snapshot from the object store: {}",
                                    QuetzalscaleException.from(failure).getMessage());
                            return Optional.empty();
                        });
    }

    private CompletionStage<Optional<ConfigSnapshot>> loadAll(List<String> names) {
        List<CompletableFuture<Optional<ConfigSnapshot>>> loads =
                names.stream().map(this::loadOne).toList();
        return CompletableFuture.allOf(loads.toArray(CompletableFuture[]::new))
                .thenApply(
                        done ->
                                loads.stream()
                                        .map(CompletableFuture::join)
                                        .flatMap(Optional::stream)
                                        .max(Comparator.comparing(ConfigSnapshot::revision)));
    }

    private CompletableFuture<Optional<ConfigSnapshot>> loadOne(String name) {
        return objects.get(name)
                .thenApply(content -> content.map(SnapshotJson::read))
                .exceptionally(
                        failure -> {
                            Logger.warn(
                                    "cannot read object {} as a snapshot: {}",
                                    name,
                                    QuetzalscaleException.from(failure).getMessage());
                            return Optional.empty();
                        })
                .toCompletableFuture();
    }
}
