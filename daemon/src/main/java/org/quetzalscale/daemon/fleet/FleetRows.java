package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.RowKey;

/**
 * Row keys of the fleet. All rows of the owner are in one shard, which the owner's lease fences.
 */
final class FleetRows {
    /** Name of the owner's lease, and of the shard that it fences. */
    static final String SHARD = "fleet";

    /** Accepted jobs and their cancellations. */
    static final String JOBS = "jobs";

    static final String JOBS_PREFIX = JOBS + "/" + SHARD + "/";

    /**
     * Written by each new owner when it takes the lease. The feed of jobs shows this row before any
     * job that was accepted later, so a former owner never starts such a job.
     */
    static final RowKey OWNER = RowKey.of(JOBS, SHARD, "owner");

    static final String PROGRESS_PREFIX = "progress/" + SHARD + "/";

    /**
     * Names the last committed transaction of progress; each one requires this row to be unchanged,
     * so that a delayed older one is rejected.
     */
    static final RowKey LAST_RECORD = RowKey.of("records", SHARD, "last");

    /** Number of waiting jobs by queue. */
    static final RowKey WAITING = RowKey.of("load", SHARD, "waiting");

    /** Instances for which orders were sent recently. */
    static final RowKey RECENT_ORDERS = RowKey.of("orders", SHARD, "recent");

    /** Maintained instances of each wave. */
    static final String WAVES_PREFIX = "waves/" + SHARD + "/";

    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String UNREADABLE_SUFFIX = "/unreadable";

    private FleetRows() {}

    static RowKey job(JobId id) {
        return new RowKey(JOBS_PREFIX + id);
    }

    static RowKey wave(long number) {
        return new RowKey(WAVES_PREFIX + number);
    }

    static RowKey cancellation(JobId id) {
        return new RowKey(JOBS_PREFIX + id + CANCEL_SUFFIX);
    }

    static RowKey progress(JobId id) {
        return new RowKey(PROGRESS_PREFIX + id);
    }

    /** What is recorded of a job while its row of progress cannot be read. */
    static RowKey progressWhileUnreadable(JobId id) {
        return new RowKey(PROGRESS_PREFIX + id + UNREADABLE_SUFFIX);
    }

    /**
     * The job that a row of progress belongs to.
     *
     * @throws QuetzalscaleException INVALID_FIELD if the key names no job
     */
    static JobId jobOfProgress(RowKey key) {
        String name = key.value().substring(PROGRESS_PREFIX.length());
        return new JobId(
                name.endsWith(UNREADABLE_SUFFIX)
                        ? name.substring(0, name.length() - UNREADABLE_SUFFIX.length())
                        : name);
    }

    static boolean isCancellation(RowKey key) {
        return key.value().endsWith(CANCEL_SUFFIX);
    }

    /**
     * The job that a key of {@link #JOBS} belongs to; empty if the key contains no valid id, as
     * keys of other writers may.
     */
    static Optional<JobId> jobOf(RowKey key) {
        if (!key.value().startsWith(JOBS_PREFIX)) {
            return Optional.empty();
        }
        String name = key.value().substring(JOBS_PREFIX.length());
        String id =
                isCancellation(key)
                        ? name.substring(0, name.length() - CANCEL_SUFFIX.length())
                        : name;
        try {
            return Optional.of(new JobId(id));
        } catch (QuetzalscaleException e) {
            return Optional.empty();
        }
    }
}
