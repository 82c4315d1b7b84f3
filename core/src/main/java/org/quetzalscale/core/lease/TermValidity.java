package org.quetzalscale.core.lease;

import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;

/**
 * Decides whether an owner may act: start, stop and move, and extend the leases of workers. It
 * answers an owner that the table does not answer while another instance takes over: that instance
 * waits only for a bounded time until what the former owner granted has expired.
 *
 * <p>An owner may act for {@link #DURATION_MILLIS} after it sent the last successful renewal, or
 * after it asked its siblings and none of them could have taken the lease: the table may be away
 * for all. An instance takes the lease over only after it has read it, for as long, without a
 * renewal, so the former owner has stopped acting by then.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class TermValidity {
    /** How long an owner acts after a confirmation, and the lease time of the owner's lease. */
    public static final long DURATION_MILLIS = 1_500;

    private final InstanceId self;
    private final long generation;
    private long confirmedMillis;
    private long pausedMillis = Long.MIN_VALUE;

    /**
     * Creates the validity of a term that begins.
     *
     * @param self the holder of the lease
     * @param generation the counter of renewals at the acquisition of the lease
     * @param confirmedMillis when the lease was requested
     */
    public TermValidity(InstanceId self, long generation, long confirmedMillis) {
        this.self = self;
        this.generation = generation;
        this.confirmedMillis = confirmedMillis;
    }

    /**
     * Records a renewal.
     *
     * @param askedMillis when it was sent
     */
    public void confirm(long askedMillis) {
        confirmedMillis = Math.max(confirmedMillis, askedMillis);
    }

    /**
     * Records the answers of the siblings. No siblings confirm nothing: one may have registered
     * since they were read.
     *
     * @param views what each sibling knows; empty if one of them did not answer
     * @param askedMillis when the first of them was asked
     */
    public void siblingsAnswered(Optional<List<LeaseView>> views, long askedMillis) {
        if (views.isPresent()
                && !views.get().isEmpty()
                && views.get().stream().allMatch(v -> v.excludesTakeover(self, generation))) {
            confirm(askedMillis);
        }
    }

    /** Whether a sibling has seen that another instance acquired the lease. */
    public boolean isSuperseded(Optional<List<LeaseView>> views) {
        return views.orElse(List.of()).stream()
                .anyMatch(view -> view.showsLaterHolder(self, generation));
    }

    /**
     * Records that the process has been paused. A clock may have stood still meanwhile, so nothing
     * that was asked before counts any more.
     */
    public void pause(long nowMillis) {
        pausedMillis = nowMillis;
    }

    /** Whether the owner may act. */
    public boolean isValid(long nowMillis) {
        return confirmedMillis >= pausedMillis && ageMillis(nowMillis) < DURATION_MILLIS;
    }

    /** Time since the last confirmation was asked for. */
    public long ageMillis(long nowMillis) {
        return nowMillis - confirmedMillis;
    }
}
