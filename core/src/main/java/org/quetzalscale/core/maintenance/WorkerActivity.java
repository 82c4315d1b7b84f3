package org.quetzalscale.core.maintenance;

import org.quetzalscale.core.id.WorkerId;

/** Tells what runs on a worker. */
@FunctionalInterface
public interface WorkerActivity {
    /** What runs there now, as far as this instance knows. */
    Activity of(WorkerId worker);
}
