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
 * sibling without an answer may be running on the other side of a partition, also if its connection
 * is refused: something between the two may refuse it.
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
        CompletionStage<List<LeaseView>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (RelayClient sibling : table.siblingClients()) {
            all = all.thenCombine(sibling.viewLease(), RelayedLeaseViews::add);
        }
        return all.handle(
                (views, failure) -> failure == null ? Optional.of(views) : Optional.empty());
    }

    private static List<LeaseView> add(List<LeaseView> views, LeaseView view) {
        views.add(view);
        return views;
    }
}
