package org.quetzalscale.core.route;

/** What one worker has in flight, as this instance knows it. Guarded by its chooser's lock. */
final class WorkerLoad {
    int own;
    int siblings;
    long shutdownUntilMillis = Long.MIN_VALUE;

    int total() {
        return own + siblings;
    }
}
