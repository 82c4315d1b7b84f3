package org.quetzalscale.daemon.fleet;

/** Which faults a simulation injects. */
enum SimulationFaults {
    /** Faults of all kinds at times that are drawn. */
    DRAWN,
    /**
     * Again and again the owner's transactions get no answers while its reads do, with many more
     * jobs. Another instance takes over, and for a moment both learn of submitted jobs.
     */
    LOST_RENEWALS,
    /**
     * All instances are killed, and the next owner calls a hundred workers with a slow processor.
     */
    SLOW_CONNECTIONS,
    /**
     * A task crashes each worker that starts it, and the owner is killed once meanwhile. Workers
     * return after some seconds.
     */
    CRASHING_TASK,
    /** Those of {@link #DRAWN}, and workers list few of their ends at a time. */
    CUT_LISTS,
    /** Those of {@link #DRAWN}, and a new owner reads the jobs for seconds. */
    SLOW_LOADS,
    /**
     * The owner is killed once, and the next one reads the jobs for almost as long as a lease of a
     * worker lasts. The lease of no run may expire.
     */
    SLOW_TAKEOVER,
    /**
     * Again and again a worker is cut off from the store, so that its entry is removed for some
     * seconds, and meanwhile the owner is killed, or frozen until after the next one has taken
     * over.
     */
    UNLISTED_WORKERS,
    /**
     * Again and again the owner and one worker are cut off from the store and from all others, and
     * reach each other.
     */
    PARTITIONED_OWNER,
    /**
     * Again and again a worker has no entry while the owner reaches neither the store nor another
     * instance, but all workers. The next owner reads the entries of the workers slowly.
     */
    SLOW_ENTRIES,
    /** Again and again a worker ends and soon restarts under its id; nothing resets connections. */
    QUICK_RESTARTS,
    /**
     * Again and again a worker restarts and soon after answers with errors for a moment, and lists
     * of instances are answered late.
     */
    LATE_LISTS,
    /**
     * One instance is restarted gracefully, so that the others forget it. Meanwhile the owner, the
     * other instance and one worker are cut off from everything else, and reach each other.
     */
    JOINING_INSTANCE
}
