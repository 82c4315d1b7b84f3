package org.quetzalscale.core.fleet;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.WaveAction;

/** The platform's interface for reboots and replacements of workers. */
public interface WorkerControl {
    /**
     * Starts an operation, or tells how the operation that already has this identifier goes. An
     * operation runs at most once, however often and however late it is asked for. Fails with
     * STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN; the call may be repeated after either.
     *
     * @param operation identifier that no other operation on any worker has
     */
    CompletionStage<ControlState> run(String operation, WorkerId worker, WaveAction action);
}
