package org.quetzalscale.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.daemon.fleet.SiblingViews;

/**
 * Asks all registered siblings over the connections on which calls to the store are relayed. A
 * sibling that refuses the connection has no process. One that cannot be reached may be running on
 * the other side of a partition.
 */
public final class RelayedLeaseViews implements SiblingViews {
    private final RelayedTable table;

    /** Creates views of the siblings that the table knows. */
    public RelayedLeaseViews(RelayedTable table) {
        this.table = table;
    }

    @Override
    public CompletionStage<Optional<List<LeaseView>>> ask() {
        if (!table.areSiblingsKnown()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletionStage<Optional<List<LeaseView>>> all =
                CompletableFuture.completedFuture(Optional.of(new ArrayList<>()));
        for (RelayClient sibling : table.siblingClients()) {
            all = all.thenCombine(sibling.viewLease(), RelayedLeaseViews::add);
        }
        return all.exceptionally(failure -> Optional.empty());
    }

    private static Optional<List<LeaseView>> add(
            Optional<List<LeaseView>> views, Optional<LeaseView> view) {
        view.ifPresent(found -> views.ifPresent(list -> list.add(found)));
        return views;
    }
}
