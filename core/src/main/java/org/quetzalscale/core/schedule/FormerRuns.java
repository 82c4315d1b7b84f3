package org.quetzalscale.core.schedule;

/**
 * What a new owner knows of the runs that earlier owners started, and whether jobs of their terms
 * may start. It answers a takeover while workers are cut off from the store, so that their entries
 * are missing, or do not respond.
 *
 * <p>A run is known once its worker has listed all its runs; a list of ends that is cut says
 * nothing of those that follow. A run has ended once the worker's lease has expired. Nothing else
 * shows that a run has ended: a list that cannot be read may contain its worker.
 *
 * @param workersCalled whether every worker with an entry has been called
 * @param entriesReported whether every worker with an entry has listed its runs
 * @param instancesReported whether the list of instances is known and all {@link WorkersAtTakeover}
 *     have listed their runs
 * @param leasesExpired whether every lease that an earlier owner may have given to a worker has
 *     expired, but for workers that have listed their runs
 */
public record FormerRuns(
        boolean workersCalled,
        boolean entriesReported,
        boolean instancesReported,
        boolean leasesExpired) {
    /** Whether jobs of earlier terms may start, and why. */
    public enum Verdict {
        /** A run of an earlier owner may still be running unnoticed. */
        HOLD,
        /** All workers have listed their runs. */
        REPORTED,
        /** The runs on all workers that have not listed them have ended with their leases. */
        EXPIRED
    }

    /** Returns whether jobs of earlier terms may start. */
    public Verdict verdict() {
        if (!workersCalled) {
            return Verdict.HOLD;
        }
        if (entriesReported && instancesReported) {
            return Verdict.REPORTED;
        }
        return leasesExpired ? Verdict.EXPIRED : Verdict.HOLD;
    }
}
