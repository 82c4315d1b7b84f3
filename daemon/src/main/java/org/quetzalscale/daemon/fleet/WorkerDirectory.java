package org.quetzalscale.daemon.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.WorkerEntry;
import org.tinylog.Logger;

/** Follows the entries of workers, and opens a session with each. */
final class WorkerDirectory {
    private static final long RETRY_MILLIS = 100;

    /** Workers write their entries more often than owners need to know. */
    private static final long DIRECTORY_MILLIS = 250;

    private final FleetContext context;
    private final LoopClock clock;
    private final WorkerSession.Term term;
    private final Map<WorkerId, WorkerSession> sessions;
    private final long fence;
    private final long startedMillis;

    /**
     * Creates a directory that has not read anything.
     *
     * @param sessions the sessions of the term, to which it adds
     */
    WorkerDirectory(
            FleetContext context,
            WorkerSession.Term term,
            Map<WorkerId, WorkerSession> sessions,
            long fence) {
        this.context = context;
        this.clock = context.clock();
        this.term = term;
        this.sessions = sessions;
        this.fence = fence;
        this.startedMillis = clock.nowMillis();
    }

    void start() {
        read();
    }

    private void read() {
        if (term.ended()) {
            return;
        }
        context.table()
                .snapshot(context.workers().prefix())
                .whenComplete(
                        (rows, failure) -> {
                            if (failure != null) {
                                clock.after(RETRY_MILLIS, this::read);
                                return;
                            }
                            Set<WorkerId> found = new HashSet<>();
                            rows.rows().forEach(row -> listed(row.key(), row.value(), found));
                            sessions.keySet().stream()
                                    .filter(id -> !found.contains(id))
                                    .toList()
                                    .forEach(this::unlist);
                            clock.after(DIRECTORY_MILLIS, () -> follow(rows.version()));
                        });
    }

    private void follow(long version) {
        if (term.ended()) {
            return;
        }
        context.table()
                .changesAfter(context.workers().table(), version, 0)
                .whenComplete(
                        (changes, failure) -> {
                            if (failure != null && StoreFailures.isHistoryLost(failure)) {
                                read();
                                return;
                            }
                            long next = version;
                            if (failure == null) {
                                changes.rows().forEach(this::changed);
                                next = changes.version();
                            }
                            long from = next;
                            clock.after(DIRECTORY_MILLIS, () -> follow(from));
                        });
    }

    private void changed(ChangedRow row) {
        if (row.value().isPresent()) {
            listed(row.key(), row.value().get(), new HashSet<>());
            return;
        }
        context.workers().idOf(row.key()).ifPresent(this::unlist);
    }

    private void listed(RowKey key, String value, Set<WorkerId> found) {
        Optional<String> name = context.workers().nameOf(key);
        if (name.isEmpty()) {
            return;
        }
        Optional<WorkerEntry> entry =
                StoreFailures.decoded(
                        key, () -> context.workers().codec().apply(name.get(), value));
        if (entry.isEmpty()) {
            return;
        }
        WorkerId id = entry.get().id();
        found.add(id);
        WorkerSession session = sessions.get(id);
        if (session != null && session.hasEnded(entry.get())) {
            return;
        }
        term.scheduler().registerWorker(entry.get(), clock.nowMillis());
        if (session != null && !session.isClosed()) {
            session.update(entry.get());
            return;
        }
        Logger.info(
                "event=worker_listed worker={} pool={} draining={}",
                id,
                entry.get().pool(),
                entry.get().draining());
        WorkerSession opened =
                new WorkerSession(
                        term,
                        context,
                        entry.get(),
                        fence,
                        startedMillis + WorkerSession.inheritedBoundMillis());
        sessions.put(id, opened);
        opened.start();
    }

    private void unlist(WorkerId id) {
        WorkerSession session = sessions.get(id);
        if (session != null && !session.isClosed()) {
            Logger.info("event=worker_unlisted worker={}", id);
            session.unlisted();
            term.scheduler().deregisterWorker(id);
        }
    }
}
