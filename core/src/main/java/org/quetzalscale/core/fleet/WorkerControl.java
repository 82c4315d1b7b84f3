package org.quetzalscale.core.fleet;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.WaveAction;

/** The platform's interface for rebooting and replacing workers. */
public interface WorkerControl {
    /**
     * Starts an operation, or returns the state of the operation that already has this identifier.
     * An operation runs at most once, however often and however late it is requested. Fails with
     * STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN; the call may be repeated after both.
     *
     * @param operation identifier of the operation, unique across all workers
     */
    CompletionStage<ControlState> run(String operation, WorkerId worker, WaveAction action);
}
