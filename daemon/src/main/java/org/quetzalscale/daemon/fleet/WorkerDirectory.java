package org.quetzalscale.daemon.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.lease.WorkerFence;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.task.WorkerEntry;
import org.tinylog.Logger;

/** Watches the entries of workers, and opens a session with each worker. */
final class WorkerDirectory {
    private static final long RETRY_DELAY_MILLIS = 100;

    /**
     * Time between reads of the feed: workers write their entries more often than owners need to
     * know.
     */
    private static final long POLL_INTERVAL_MILLIS = 250;

    private final FleetContext context;
    private final LoopClock clock;
    private final WorkerSession.Term term;
    private final Map<WorkerId, WorkerSession> sessions;
    private final long leaseVersion;

    /** Kept beyond a session: orders of an earlier session may still reach the worker. */
    private final Map<WorkerId, WorkerFence> fences = new HashMap<>();

    private final PacedCalls pacedCalls;
    private final long startedMillis;

    /**
     * Creates a directory that has read nothing yet.
     *
     * @param sessions the sessions of the term, to which the directory adds
     * @param leaseVersion version that fences the owner's lease
     */
    WorkerDirectory(
            FleetContext context,
            WorkerSession.Term term,
            Map<WorkerId, WorkerSession> sessions,
            long leaseVersion) {
        this.context = context;
        this.clock = context.clock();
        this.term = term;
        this.sessions = sessions;
        this.leaseVersion = leaseVersion;
        this.pacedCalls = new PacedCalls(clock);
        this.startedMillis = clock.nowMillis();
    }

    void start() {
        read();
    }

    /** Calls all workers again: their reports were not applied before the jobs were loaded. */
    void jobsLoaded() {
        sessions.values().forEach(pacedCalls::call);
    }

    /** Whether the owner has called every worker that it knows of. */
    boolean allCalled() {
        return pacedCalls.isIdle();
    }

    private void read() {
        if (term.ended()) {
            return;
        }
        context.table()
                .snapshot(context.workers().prefix())
                .whenComplete(
                        (rows, failure) ->
                                clock.runOrRetry(
                                        () -> entriesRead(rows, failure),
                                        RETRY_DELAY_MILLIS,
                                        this::read));
    }

    private void entriesRead(RowSnapshot rows, Throwable failure) {
        if (failure != null) {
            clock.after(RETRY_DELAY_MILLIS, this::read);
            return;
        }
        Set<WorkerId> found = new HashSet<>();
        for (Row row : rows.rows()) {
            StoreFailures.applyOrLog(row.key(), () -> applyEntry(row.key(), row.value(), found));
        }
        sessions.keySet().stream()
                .filter(id -> !found.contains(id))
                .toList()
                .forEach(this::deregister);
        clock.after(POLL_INTERVAL_MILLIS, () -> watch(rows.version()));
    }

    private void watch(long version) {
        if (term.ended()) {
            return;
        }
        context.table()
                .changesAfter(context.workers().table(), version, 0)
                .whenComplete(
                        (changes, failure) ->
                                clock.runOrRetry(
                                        () -> entriesChanged(version, changes, failure),
                                        RETRY_DELAY_MILLIS,
                                        () -> watch(version)));
    }

    private void entriesChanged(long version, Changes changes, Throwable failure) {
        if (failure != null && StoreFailures.isHistoryLost(failure)) {
            read();
            return;
        }
        if (failure == null) {
            for (ChangedRow row : changes.rows()) {
                StoreFailures.applyOrLog(row.key(), () -> rowChanged(row));
            }
        }
        long next = failure == null ? changes.version() : version;
        clock.after(POLL_INTERVAL_MILLIS, () -> watch(next));
    }

    private void rowChanged(ChangedRow row) {
        if (row.value().isPresent()) {
            applyEntry(row.key(), row.value().get(), new HashSet<>());
            return;
        }
        context.workers().idOf(row.key()).ifPresent(this::deregister);
    }

    private void applyEntry(RowKey key, String value, Set<WorkerId> found) {
        Optional<String> name = context.workers().nameOf(key);
        if (name.isEmpty()) {
            return;
        }
        Optional<WorkerEntry> entry =
                StoreFailures.decodeOrLog(
                        key, () -> context.workers().codec().apply(name.get(), value));
        if (entry.isEmpty()) {
            return;
        }
        WorkerId id = entry.get().id();
        found.add(id);
        WorkerSession session = sessions.get(id);
        if (session != null && session.isOfEndedWorker(entry.get())) {
            return;
        }
        term.scheduler().registerWorker(entry.get(), clock.nowMillis());
        if (session != null && !session.isClosed()) {
            session.updateEntry(entry.get());
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
                        fences.computeIfAbsent(id, created -> new WorkerFence(leaseVersion)),
                        new WorkerLease(startedMillis + WorkerLease.formerBoundMillis()));
        sessions.put(id, opened);
        pacedCalls.call(opened);
    }

    private void deregister(WorkerId id) {
        WorkerSession session = sessions.get(id);
        if (session != null && !session.isClosed()) {
            Logger.info("event=worker_unlisted worker={}", id);
            session.deregister();
            term.scheduler().deregisterWorker(id);
        }
    }
}
