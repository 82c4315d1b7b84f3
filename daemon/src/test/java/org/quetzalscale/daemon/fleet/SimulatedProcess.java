package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** A process that may be frozen, killed, and cut off from the store or from the workers. */
final class SimulatedProcess {
    private final VirtualLoop loop;
    private long frozenUntilMillis;
    private long busyUntilMillis;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean nextScheduled;
    private boolean killed;

    /** How the store answers this process. */
    enum StoreAccess {
        SERVED,
        REFUSED,
        NOT_ANSWERED,
        /** Reads are answered; transactions are not, and some are carried out late. */
        COMMITS_NOT_ANSWERED
    }

    StoreAccess store = StoreAccess.SERVED;
    boolean cutFromWorkers;

    boolean cutFromSiblings;

    /** Workers that this process cannot call, although others may. */
    private Set<String> unreachableWorkers = Set.of();

    SimulatedProcess(VirtualLoop loop) {
        this.loop = loop;
    }

    boolean canCall(String worker) {
        return !cutFromWorkers && !unreachableWorkers.contains(worker);
    }

    void cutFrom(Set<String> workers) {
        unreachableWorkers = workers;
    }

    /** Runs the action, once the process is neither frozen nor busy; never if it was killed. */
    void run(Runnable action) {
        if (killed) {
            return;
        }
        long wait = frozenUntilMillis - loop.nowMillis();
        if (wait > 0) {
            loop.after(wait, () -> run(action));
            return;
        }
        if (isBusy() || !waiting.isEmpty()) {
            waiting.add(action);
            scheduleNext();
            return;
        }
        action.run();
    }

    private boolean isBusy() {
        return loop.nowMillis() < busyUntilMillis;
    }

    private void scheduleNext() {
        if (!nextScheduled && !waiting.isEmpty()) {
            nextScheduled = true;
            loop.after(busyUntilMillis - loop.nowMillis(), this::runWaiting);
        }
    }

    /** Runs waiting actions in their order, until one of them keeps the processor busy. */
    private void runWaiting() {
        nextScheduled = false;
        while (!killed && !isBusy() && !waiting.isEmpty()) {
            waiting.poll().run();
        }
        scheduleNext();
    }

    /** Completes a reply after some time, if the process is still alive. */
    <T> void deliver(long millis, CompletableFuture<T> reply, T value) {
        loop.after(millis, () -> run(() -> reply.complete(value)));
    }

    /** Fails a reply after some time, if the process is still alive. */
    void fail(long millis, CompletableFuture<?> reply, Throwable failure) {
        loop.after(millis, () -> run(() -> reply.completeExceptionally(failure)));
    }

    /** Keeps the processor busy; actions that are due meanwhile run later. */
    void occupy(long millis) {
        busyUntilMillis = Math.max(busyUntilMillis, loop.nowMillis()) + millis;
    }

    void freeze(long millis) {
        frozenUntilMillis = loop.nowMillis() + millis;
    }

    void kill() {
        killed = true;
    }

    boolean isFrozen() {
        return loop.nowMillis() < frozenUntilMillis;
    }

    boolean isAlive() {
        return !killed;
    }
}
