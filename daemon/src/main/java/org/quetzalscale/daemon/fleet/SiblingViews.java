package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.lease.LeaseView;

/** Asks the siblings of this instance what they know of the fleet's lease. */
@FunctionalInterface
public interface SiblingViews {
    /** The views of an instance without siblings. */
    SiblingViews NO_SIBLINGS = () -> CompletableFuture.completedFuture(Optional.of(List.of()));

    /**
     * Asks all siblings. The stage does not fail.
     *
     * @return the views of all registered siblings; empty if one of them did not answer
     */
    CompletionStage<Optional<List<LeaseView>>> ask();
}
