package org.quetzalscale.standin.experiment.share;

/** An order of job starts under test. */
interface Policy {
    /** Takes a job that was submitted. */
    void submit(Workload.Arrival arrival);

    /** Decides; called every 200 ms of virtual time. */
    void tick();

    /** Whether all submitted jobs have ended. */
    boolean isIdle();
}
