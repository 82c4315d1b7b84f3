package org.quetzalscale.standin.soak;

/**
 * A job as its client saw it. Times are seconds since the start of the soak, infinite for what has
 * not happened.
 *
 * @param lasting whether its tasks run until it is cancelled
 * @param accepted when the first answer of success arrived
 * @param cancelSent when the first request to cancel it was sent
 * @param cancelled when its cancellation was acknowledged
 * @param completed when it was first shown as completed
 * @param shownBy the node that showed it as completed
 * @param finalState its state when all jobs were asked for at the end
 */
record JobRecord(
        String id,
        boolean lasting,
        double accepted,
        double cancelSent,
        double cancelled,
        double completed,
        String shownBy,
        String finalState) {
    boolean isAccepted() {
        return !Double.isInfinite(accepted);
    }

    /** Whether its completion is owed. */
    boolean isOwed() {
        return isAccepted() && !lasting && Double.isInfinite(cancelSent);
    }
}
