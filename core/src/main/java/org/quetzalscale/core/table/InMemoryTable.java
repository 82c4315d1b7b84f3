package org.quetzalscale.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;

/**
 * In-memory table: the embedded default of a single daemon, and the state of the stand-in platform.
 */
public final class InMemoryTable implements TransactionalTable {
    private final ReentrantLock lock = new ReentrantLock();
    private final NavigableMap<RowKey, Row> rows = new TreeMap<>();
    private long version;

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        lock.lock();
        try {
            return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        lock.lock();
        try {
            List<Row> found = new ArrayList<>();
            NavigableMap<RowKey, Row> candidates =
                    prefix.isEmpty() ? rows : rows.tailMap(new RowKey(prefix), true);
            for (Row row : candidates.values()) {
                if (!row.key().value().startsWith(prefix)) {
                    break;
                }
                found.add(row);
            }
            return CompletableFuture.completedFuture(found);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        lock.lock();
        try {
            List<RowKey> conflicts =
                    transaction.conditions().stream()
                            .filter(condition -> !holds(condition))
                            .map(Condition::key)
                            .toList();
            if (!conflicts.isEmpty()) {
                return CompletableFuture.completedFuture(CommitResult.conflicts(conflicts));
            }
            version++;
            transaction.mutations().forEach(this::apply);
            return CompletableFuture.completedFuture(CommitResult.committed(version));
        } finally {
            lock.unlock();
        }
    }

    /** The version of the latest commit; 0 before the first one. */
    public long version() {
        lock.lock();
        try {
            return version;
        } finally {
            lock.unlock();
        }
    }

    private boolean holds(Condition condition) {
        Row row = rows.get(condition.key());
        return condition.version() == (row == null ? Condition.ABSENT : row.version());
    }

    private void apply(Mutation mutation) {
        if (mutation.value().isEmpty()) {
            rows.remove(mutation.key());
            return;
        }
        rows.put(mutation.key(), new Row(mutation.key(), version, mutation.value().get()));
    }
}
