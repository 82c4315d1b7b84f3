package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.JobId;

/** Receives what a scheduler reserves for tasks that do not fit yet. */
public interface ReservationListener {
    /** Ignores all events. */
    ReservationListener NONE =
            new ReservationListener() {
                @Override
                public void reserved(JobId job, int step, int tasks, long startsInMillis) {}

                @Override
                public void used(JobId job, int step) {}

                @Override
                public void givenUp(JobId job, int step, Cause cause) {}

                @Override
                public void backfilled() {}
            };

    /** Why a reservation was given up. */
    enum Cause {
        /** Its time was postponed for too long. */
        POSTPONED,
        /** A step ahead in the order got the reservation, or the step no longer waits. */
        REPLACED
    }

    /**
     * Capacity was reserved for a step.
     *
     * @param startsInMillis time until its first reserved task is expected to start
     */
    void reserved(JobId job, int step, int tasks, long startsInMillis);

    /** All tasks with reserved capacity have started. */
    void used(JobId job, int step);

    /** A reservation ended before all its tasks started. */
    void givenUp(JobId job, int step, Cause cause);

    /** A task started on reserved capacity, because it is expected to end in time. */
    void backfilled();
}
