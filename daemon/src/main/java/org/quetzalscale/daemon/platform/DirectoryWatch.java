package org.quetzalscale.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.InstanceDirectory;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.WorkerId;
import org.tinylog.Logger;

/**
 * Polls the platform's list of machines and keeps the latest answer. While the list can't be had,
 * the last answer stays in use.
 */
public final class DirectoryWatch implements InstanceDirectory {
    /** Time between polls, in milliseconds. */
    public static final long POLL_MILLIS = 1_000;

    private final InstanceDirectory directory;
    private final ScheduledExecutorService executor;
    private final List<Consumer<List<Member>>> entryListeners = new CopyOnWriteArrayList<>();
    private volatile List<Member> entries;
    private volatile List<Member> workers;
    private volatile Map<String, MemberState> workerStates = Map.of();
    private ScheduledFuture<?> polling;

    /**
     * A watch that is not started.
     *
     * @param executor runs the polls; owned by the caller
     */
    public DirectoryWatch(InstanceDirectory directory, ScheduledExecutorService executor) {
        this.directory = directory;
        this.executor = executor;
    }

    /** Calls the listener with each answer about entry instances. */
    public void addEntryListener(Consumer<List<Member>> listener) {
        entryListeners.add(listener);
    }

    /** Starts to poll. */
    public void start() {
        polling =
                executor.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops polling. */
    public void stop() {
        polling.cancel(false);
    }

    @Override
    public CompletionStage<List<Member>> list(MemberRole role) {
        List<Member> known = role == MemberRole.ENTRY ? entries : workers;
        if (known == null) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE, "the list of machines was not read yet"));
        }
        return CompletableFuture.completedFuture(known);
    }

    /** The state of a worker as last listed; empty if it was never listed. */
    public Optional<MemberState> workerState(WorkerId worker) {
        return Optional.ofNullable(workerStates.get(worker.value()));
    }

    /** Whether the list shows the worker in graceful shutdown or gone. */
    public boolean isLeaving(WorkerId worker) {
        return workerState(worker).filter(state -> state != MemberState.LIVE).isPresent();
    }

    private void poll() {
        directory
                .list(MemberRole.ENTRY)
                .thenAccept(
                        members -> {
                            entries = members;
                            entryListeners.forEach(listener -> listener.accept(members));
                        })
                .thenCompose(done -> directory.list(MemberRole.WORKER))
                .thenAccept(
                        members -> {
                            workers = members;
                            workerStates =
                                    members.stream()
                                            .collect(
                                                    Collectors.toUnmodifiableMap(
                                                            Member::name,
                                                            Member::state,
                                                            (first, second) -> second));
                        })
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                Logger.debug("list of machines not read: {}", failure.toString());
                            }
                        });
    }
}
