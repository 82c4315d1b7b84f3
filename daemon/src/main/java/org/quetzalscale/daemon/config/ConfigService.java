package org.quetzalscale.daemon.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.ConfigReader;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.config.ConfigState;
import org.quetzalscale.core.config.ConfigStore;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.config.InstanceRegistry;
import org.quetzalscale.core.config.RegistrationTracker;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.object.ObjectStore;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/**
 * The configuration of one daemon: keeps its copy current and valid, accepts writes, and reports
 * when they are in force. Thread-safe; no method blocks.
 */
public final class ConfigService implements ConfigSource {
    /** Largest gap that is read change by change, so that watchers see each one. */
    private static final int MAX_GAP_CHANGES = 64;

    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** Time after which a new process continues without the platform's list. */
    private static final long INTRODUCTION_TIMEOUT_MILLIS = 5_000;

    private static final long WAITER_INTERVAL_MILLIS = 50;
    private static final long IN_FORCE_TIMEOUT_MILLIS = 10_000;

    private final InstanceId self;
    private final long incarnation;
    private final TimeSource time;
    private final ConfigStore store;
    private final SnapshotArchive archive;
    private final ReentrantLock lock = new ReentrantLock();
    private final ConfigState state;
    private final InstanceRegistry registry;
    private final RegistrationTracker registrations;
    private final InForceWaiters waiters = new InForceWaiters();
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean notifying = new AtomicBoolean();
    private final AtomicBoolean catchingUp = new AtomicBoolean();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(ConfigService::thread);
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
    private volatile long validUntilMillis = Long.MIN_VALUE;
    private volatile SiblingLinks links = SiblingLinks.NONE;
    private volatile boolean introduced;
    private volatile boolean registered;
    private volatile long startedMillis;

    /** Creates a service whose copy is empty and not valid. */
    public ConfigService(
            InstanceId self, TransactionalTable table, ObjectStore objects, TimeSource time) {
        UUID process = UUID.randomUUID();
        this.self = self;
        this.incarnation = process.getMostSignificantBits();
        this.time = time;
        this.state = new ConfigState(self);
        this.store =
                new ConfigStore(table, ChangeJson.CODECS, () -> self + "/" + UUID.randomUUID());
        this.archive = new SnapshotArchive(objects, time);
        this.registry = new InstanceRegistry(table);
        this.registrations = new RegistrationTracker(self);
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "config");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Sets the links to other instances; called before {@link #start}. Without links this is the
     * only instance.
     */
    public void connect(SiblingLinks siblingLinks) {
        links = siblingLinks;
    }

    /** Starts to read the table; the copy becomes valid with the first successful check. */
    public void start() {
        startedMillis = time.nowMillis();
        if (links == SiblingLinks.NONE) {
            introduced = true;
            list(List.of());
        }
        executor.scheduleAtFixedRate(this::check, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(
                this::checkWaiters,
                WAITER_INTERVAL_MILLIS,
                WAITER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        archive.load().thenAccept(this::offerArchived);
    }

    /**
     * Records that this instance has tried to connect to each instance on the platform's list.
     * Before that, a table read does not make the copy valid: an instance that accepts a change
     * must know of this one to wait for it, and its own list may be outdated.
     */
    public void introduced() {
        introduced = true;
        execute(this::check);
    }

    /** Stops all activity; the copy stays readable until its validity expires. */
    public void stop() {
        executor.shutdownNow();
        removeRegistrations(Set.of(self));
    }

    /** Returns the id of this instance. */
    public InstanceId self() {
        return self;
    }

    /** Returns a number that differs for each process that runs under the id. */
    public long incarnation() {
        return incarnation;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public boolean isValid() {
        return time.nowMillis() < validUntilMillis;
    }

    /** Calls the listener with the latest snapshot after changes, on the service's thread. */
    public void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }

    /**
     * Accepts a write. The stage fails with the errors of {@link ConfigStore#write}.
     *
     * @return the result, once the write is in force everywhere or after 10 s
     */
    public CompletionStage<WriteResult> write(ConfigWrite write) {
        return accept(write)
                .thenCompose(
                        changes -> {
                            Revision last = changes.get(changes.size() - 1).revision();
                            return awaitInForce(last, IN_FORCE_TIMEOUT_MILLIS)
                                    .thenApply(pending -> new WriteResult(changes, pending));
                        });
    }

    /**
     * Accepts a write and returns the changes without waiting until they are in force. The stage
     * fails with the errors of {@link ConfigStore#write}.
     */
    public CompletionStage<List<Change>> accept(ConfigWrite write) {
        return store.write(snapshot, write)
                .thenApply(
                        changes -> {
                            changes.forEach(this::accepted);
                            catchUp();
                            readRegistry();
                            return changes;
                        });
    }

    private void accepted(Change change) {
        update(() -> state.change(change, time.nowMillis()));
        links.distribute(new ChangeRecord(change, self.value()));
    }

    /**
     * Completes when a revision is in force everywhere, or when the timeout has passed.
     *
     * @return the instances that are pending at that time
     */
    public CompletionStage<SortedSet<InstanceId>> awaitInForce(
            Revision revision, long timeoutMillis) {
        CompletionStage<SortedSet<InstanceId>> pending =
                waiters.await(revision, time.nowMillis() + timeoutMillis);
        checkWaiters();
        return pending;
    }

    /**
     * Returns the instances that may still accept work under a revision older than the given one.
     */
    public SortedSet<InstanceId> pending(Revision revision) {
        return locked(
                () -> {
                    long nowMillis = time.nowMillis();
                    SortedSet<InstanceId> pending = state.pending(revision, nowMillis);
                    pending.addAll(registrations.pending(revision, state.known(), nowMillis));
                    return pending;
                });
    }

    /** Returns the other known instances. */
    public SortedSet<InstanceId> known() {
        return locked(state::known);
    }

    /** Returns this instance's statement about its configuration. */
    public Statement statement() {
        return locked(() -> state.statement(time.nowMillis()));
    }

    /** Returns the changes after a revision in order, or empty if some are not kept here. */
    public Optional<List<Change>> changesAfter(Revision after) {
        return locked(() -> state.changesAfter(after));
    }

    /** Reads the changes after a revision from the table, without those that are not kept. */
    public CompletionStage<List<Change>> readChangesAfter(Revision after, Revision to) {
        return store.reader()
                .changes(after, to)
                .thenApply(records -> records.stream().map(ChangeRecord::change).toList());
    }

    /** Updates the known instances from the platform's list of entry instances. */
    public void list(List<Member> members) {
        update(() -> state.list(members, time.nowMillis()));
        Set<InstanceId> ended =
                members.stream()
                        .filter(member -> member.state() == MemberState.GONE)
                        .map(member -> new InstanceId(member.name()))
                        .filter(registrations.registered()::contains)
                        .collect(Collectors.toSet());
        if (!ended.isEmpty()) {
            removeRegistrations(ended);
        }
    }

    /** Records another instance's hello. */
    public void hello(InstanceId sibling, long process, Set<InstanceId> mentioned) {
        update(() -> state.hello(sibling, process, mentioned, time.nowMillis()));
    }

    /** Records another instance's acknowledgement of this instance's hello. */
    public void helloAck(InstanceId sibling, long process, Set<InstanceId> mentioned) {
        update(() -> state.helloAck(sibling, process, mentioned, time.nowMillis()));
    }

    /** Records that an instance's address refused a connection attempted at the given time. */
    public void refused(InstanceId sibling, long calledMillis) {
        update(() -> state.refused(sibling, calledMillis, time.nowMillis()));
    }

    /** Records another instance's statement, requested at the given time. */
    public void statement(InstanceId sibling, long process, long askedMillis, Statement statement) {
        update(() -> state.statement(sibling, process, askedMillis, statement, time.nowMillis()));
        if (statement.seen().isNewerThan(snapshot.revision())) {
            catchUp();
        }
    }

    /** Records that another instance applied a revision. */
    public void confirm(InstanceId sibling, long process, Revision revision) {
        update(() -> state.confirm(sibling, process, revision));
    }

    /**
     * Applies a change that another instance sent.
     *
     * @return the revision of the copy afterwards
     */
    public Revision change(Change change) {
        update(() -> state.change(change, time.nowMillis()));
        Revision applied = snapshot.revision();
        if (change.revision().isNewerThan(applied)) {
            catchUp();
        }
        return applied;
    }

    /** Offers a snapshot that another instance sent. */
    public void offer(ConfigSnapshot newer) {
        update(() -> state.snapshot(newer, time.nowMillis()));
    }

    private void update(Runnable event) {
        locked(
                () -> {
                    event.run();
                    return null;
                });
        if (!waiters.isEmpty()) {
            checkWaiters();
        }
    }

    private <T> T locked(Supplier<T> event) {
        lock.lock();
        try {
            T result = event.get();
            boolean changed = snapshot != state.snapshot();
            // Readers check the validity first, so the copy is published before its validity.
            snapshot = state.snapshot();
            validUntilMillis = state.validUntilMillis();
            if (changed) {
                notifyListeners();
            }
            return result;
        } finally {
            lock.unlock();
        }
    }

    private void notifyListeners() {
        if (notifying.compareAndSet(false, true)) {
            execute(
                    () -> {
                        notifying.set(false);
                        ConfigSnapshot latest = snapshot;
                        listeners.forEach(listener -> listener.accept(latest));
                    });
        }
    }

    private void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            Logger.debug("dropped a task of the stopped configuration service");
        }
    }

    private void checkWaiters() {
        long nowMillis = time.nowMillis();
        waiters.check(this::pending, nowMillis);
    }

    private void check() {
        archive();
        if (!introduced && time.nowMillis() - startedMillis < INTRODUCTION_TIMEOUT_MILLIS) {
            return;
        }
        if (!registered) {
            register();
            return;
        }
        long startMillis = time.nowMillis();
        reader().revision()
                .whenComplete(
                        (revision, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "cannot read the table; checking freshness through siblings: {}",
                                        failure.getMessage());
                                recheckWithoutTable();
                                return;
                            }
                            update(() -> state.tableRead(startMillis, revision, time.nowMillis()));
                            catchUp();
                            readRegistry();
                        });
    }

    private void register() {
        registry.register(self, incarnation)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "cannot register this instance: {}", failure.getMessage());
                                recheckWithoutTable();
                                return;
                            }
                            registered = true;
                            execute(this::check);
                        });
    }

    /** Reads the instance registry, unless it was read since the latest change. */
    private void readRegistry() {
        Revision committed = statement().seen();
        if (!locked(() -> registrations.needsRead(committed))) {
            return;
        }
        registry.registered()
                .whenComplete(
                        (instances, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "cannot read the instance registry: {}",
                                        failure.getMessage());
                                return;
                            }
                            update(
                                    () ->
                                            registrations.read(
                                                    instances, committed, time.nowMillis()));
                        });
    }

    private void removeRegistrations(Set<InstanceId> ended) {
        registry.remove(ended)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                Logger.debug("cannot remove the registrations of {}", ended);
                            }
                        });
    }

    private void recheckWithoutTable() {
        Statement own = statement();
        if (own.seen().isNewerThan(own.applied())) {
            catchUp();
        }
    }

    private ConfigReader reader() {
        return store.reader();
    }

    /** Fetches what is missing up to the highest known revision; one fetch runs at a time. */
    private void catchUp() {
        Statement own = statement();
        if (!own.seen().isNewerThan(own.applied()) || !catchingUp.compareAndSet(false, true)) {
            return;
        }
        links.fetch(own.applied());
        fetchFromTable(own)
                .whenComplete(
                        (done, failure) -> {
                            catchingUp.set(false);
                            if (failure != null) {
                                Logger.debug(
                                        "cannot read the changes after revision {}: {}",
                                        own.applied(),
                                        QuetzalscaleException.from(failure).getMessage());
                            }
                        });
    }

    private CompletionStage<Void> fetchFromTable(Statement own) {
        if (own.seen().value() - own.applied().value() > MAX_GAP_CHANGES) {
            return reader().load().thenAccept(this::offer);
        }
        return reader().changes(own.applied(), own.seen())
                .thenCompose(
                        records -> {
                            records.forEach(record -> change(record.change()));
                            return own.seen().isNewerThan(snapshot.revision())
                                    ? reader().load().thenAccept(this::offer)
                                    : CompletableFuture.completedFuture(null);
                        });
    }

    /** Lets one instance store snapshots; it is harmless if two do so at once. */
    private void archive() {
        SortedSet<InstanceId> known = known();
        if (known.isEmpty() || self.compareTo(known.first()) < 0) {
            archive.storeIfDue(this::snapshot);
        }
    }

    private void offerArchived(Optional<ConfigSnapshot> archived) {
        archived.ifPresent(this::offer);
    }
}
