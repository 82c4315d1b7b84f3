package org.quetzalscale.daemon.fleet;

import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.ReservationListener;
import org.tinylog.Logger;

/** Logs and counts reservations of capacity. */
final class ReservationLogger implements ReservationListener {
    private final FleetMetrics metrics;

    ReservationLogger(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void reserved(JobId job, int step, int tasks, long startsInMillis) {
        metrics.reservation("made");
        Logger.info(
                "event=reservation outcome=made job={} step={} tasks={} in_ms={}",
                job,
                step,
                tasks,
                startsInMillis);
    }

    @Override
    public void used(JobId job, int step) {
        metrics.reservation("used");
        Logger.info("event=reservation outcome=used job={} step={}", job, step);
    }

    @Override
    public void givenUp(JobId job, int step, Cause cause) {
        metrics.reservation("given_up");
        Logger.info("event=reservation outcome=given_up job={} step={} cause={}", job, step, cause);
    }

    @Override
    public void backfilled() {
        metrics.backfilledStart();
    }
}
