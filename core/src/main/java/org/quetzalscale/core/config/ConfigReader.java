package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.TransactionalTable;

/** Reads the configuration from the table. */
public final class ConfigReader {
    /** Largest gap that is read change by change; a scan takes fewer reads for a larger one. */
    private static final int MAX_GAP_CHANGES = 64;

    private static final int MAX_SCANS = 8;

    private final TransactionalTable table;
    private final ConfigCodecs codecs;

    /** Creates a reader of the given table. */
    public ConfigReader(TransactionalTable table, ConfigCodecs codecs) {
        this.table = table;
        this.codecs = codecs;
    }

    /** Returns the latest accepted revision. Fails with the errors of the table. */
    public CompletionStage<Revision> revision() {
        return table.read(ConfigRows.REVISION).thenApply(ConfigReader::revisionOf);
    }

    /** Returns the record of a change, if it is kept. Fails with the errors of the table. */
    public CompletionStage<Optional<ChangeRecord>> change(Revision revision) {
        return table.read(ConfigRows.change(revision))
                .thenApply(row -> row.map(present -> codecs.change().decode(present.value())));
    }

    /**
     * Reads all resources as of one revision. Fails with the errors of the table, and with
     * STORE_UNAVAILABLE if changes were accepted during each of several scans.
     */
    public CompletionStage<ConfigSnapshot> load() {
        return load(MAX_SCANS);
    }

    /**
     * Brings a snapshot up to at least the given revision. Fails with the errors of {@link #load}.
     *
     * @param from the snapshot to start from; it is returned if it is recent enough
     */
    public CompletionStage<ConfigSnapshot> advance(ConfigSnapshot from, Revision to) {
        long gap = to.value() - from.revision().value();
        if (gap <= 0) {
            return CompletableFuture.completedFuture(from);
        }
        if (gap > MAX_GAP_CHANGES) {
            return load();
        }
        return changes(from.revision(), to)
                .thenCompose(
                        changes -> {
                            if (changes.size() < gap) {
                                return load();
                            }
                            ConfigSnapshot current = from;
                            for (ChangeRecord record : changes) {
                                current = current.apply(record.change());
                            }
                            return CompletableFuture.completedFuture(current);
                        });
    }

    /**
     * Reads the changes after one revision up to another, in order, without those that are no
     * longer kept. Fails with the errors of the table.
     */
    public CompletionStage<List<ChangeRecord>> changes(Revision after, Revision to) {
        List<CompletableFuture<Optional<ChangeRecord>>> reads = new ArrayList<>();
        for (Revision next = after.next(); !next.isNewerThan(to); next = next.next()) {
            reads.add(change(next).toCompletableFuture());
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(
                        done ->
                                reads.stream()
                                        .map(CompletableFuture::join)
                                        .flatMap(Optional::stream)
                                        .toList());
    }

    private CompletionStage<ConfigSnapshot> load(int scansLeft) {
        if (scansLeft == 0) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE,
                            "the configuration changed during each of " + MAX_SCANS + " scans"));
        }
        return table.read(ConfigRows.REVISION)
                .thenCompose(
                        before ->
                                table.scan(ConfigRows.RESOURCES)
                                        .thenCompose(
                                                rows ->
                                                        table.read(ConfigRows.REVISION)
                                                                .thenCompose(
                                                                        after ->
                                                                                before.equals(after)
                                                                                        ? snapshot(
                                                                                                after,
                                                                                                rows)
                                                                                        : load(
                                                                                                scansLeft
                                                                                                        - 1))));
    }

    private CompletionStage<ConfigSnapshot> snapshot(Optional<Row> revision, List<Row> rows) {
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        for (Row row : rows) {
            Change change = codecs.change().decode(row.value()).change();
            change.spec()
                    .ifPresent(
                            spec ->
                                    resources
                                            .computeIfAbsent(change.kind(), k -> new TreeMap<>())
                                            .put(
                                                    change.name(),
                                                    new Versioned(change.revision(), spec)));
        }
        return CompletableFuture.completedFuture(
                ConfigSnapshot.of(revisionOf(revision), resources));
    }

    /** Returns the revision in the row, or {@link Revision#NONE} without a row. */
    public static Revision revisionOf(Optional<Row> row) {
        return row.map(ConfigRows::decodeRevision).orElse(Revision.NONE);
    }
}
