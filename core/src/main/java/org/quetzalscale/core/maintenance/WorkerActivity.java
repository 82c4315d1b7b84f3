package org.quetzalscale.core.maintenance;

import org.quetzalscale.core.id.WorkerId;

/** Reports the work that runs on a worker. */
@FunctionalInterface
public interface WorkerActivity {
    /** Returns the worker's current activity, as far as this instance knows. */
    Activity of(WorkerId worker);
}
