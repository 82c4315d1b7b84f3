package org.quetzalscale.daemon.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/** Writers that wait until their revision is in force everywhere or their deadline passes. */
final class InForceWaiters {
    private final List<Waiter> waiters = Collections.synchronizedList(new ArrayList<>());

    private record Waiter(
            Revision revision,
            long deadlineMillis,
            CompletableFuture<SortedSet<InstanceId>> pending) {}

    /**
     * Completes with no instance once none is pending, or with the pending ones at the deadline.
     */
    CompletionStage<SortedSet<InstanceId>> await(Revision revision, long deadlineMillis) {
        CompletableFuture<SortedSet<InstanceId>> pending = new CompletableFuture<>();
        waiters.add(new Waiter(revision, deadlineMillis, pending));
        return pending;
    }

    /** Returns whether there are no waiters. */
    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /** Completes the waiters whose revision is in force or whose deadline has passed. */
    void check(Function<Revision, SortedSet<InstanceId>> pendingOf, long nowMillis) {
        for (Waiter waiter : List.copyOf(waiters)) {
            SortedSet<InstanceId> pending = pendingOf.apply(waiter.revision());
            if (pending.isEmpty() || nowMillis >= waiter.deadlineMillis()) {
                waiters.remove(waiter);
                waiter.pending().complete(pending);
            }
        }
    }
}
