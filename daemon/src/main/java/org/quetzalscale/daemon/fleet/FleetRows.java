package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.RowKey;

/**
 * Row keys of the fleet. All rows of the owner are in one shard, which the owner's lease fences.
 * Accepted jobs and their cancellations are in other partitions, chosen by a hash of the job id, so
 * that submissions do not fill the partition of the lease.
 */
final class FleetRows {
    /** Name of the owner's lease, and of the shard that it fences. */
    static final String SHARD = "fleet";

    /** Accepted jobs and their cancellations. */
    static final String JOBS = "jobs";

    /**
     * A partition of a slow store takes only a few transactions per second. With this many, the
     * submissions of a large fleet fill none of them, also with an uneven hash or repeated calls.
     * More partitions make a new owner send more reads.
     */
    static final int JOB_PARTITIONS = 16;

    /** Rows of {@link #JOBS} in the shard: the owner's, and jobs that earlier releases accepted. */
    static final String SHARD_JOBS_PREFIX = JOBS + "/" + SHARD + "/";

    /** Prefixes of the row keys of accepted jobs, one for each partition. */
    static final List<String> JOB_PREFIXES =
            IntStream.range(0, JOB_PARTITIONS).mapToObj(FleetRows::jobPrefix).toList();

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

    /** Spreads ids that differ in few bits (Fibonacci hashing). */
    private static final int HASH_FACTOR = 0x9E3779B9;

    private static final int SEGMENTS = 3;
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String UNREADABLE_SUFFIX = "/unreadable";
    private static final String RANGE_PREFIX = "/tasks/";

    private FleetRows() {}

    static RowKey job(JobId id) {
        long hash = Integer.toUnsignedLong(id.value().hashCode() * HASH_FACTOR);
        return new RowKey(JOB_PREFIXES.get((int) (hash * JOB_PARTITIONS >>> Integer.SIZE)) + id);
    }

    /** Where releases without partitions recorded a job. */
    static RowKey jobOfEarlierRelease(JobId id) {
        return new RowKey(SHARD_JOBS_PREFIX + id);
    }

    private static String jobPrefix(int partition) {
        return JOBS + "/" + SHARD + "-" + partition + "/";
    }

    static RowKey wave(long number) {
        return new RowKey(WAVES_PREFIX + number);
    }

    /** The cancellation of the job with this row; it follows the job in the same partition. */
    static RowKey cancellation(RowKey job) {
        return new RowKey(job + CANCEL_SUFFIX);
    }

    static RowKey progress(JobId id) {
        return new RowKey(PROGRESS_PREFIX + id);
    }

    /** What is recorded of a job while its row of progress cannot be read. */
    static RowKey progressWhileUnreadable(JobId id) {
        return new RowKey(PROGRESS_PREFIX + id + UNREADABLE_SUFFIX);
    }

    /**
     * A range of tasks of a step, whose progress is in a row beside the job's.
     *
     * @param main the job's row of progress
     */
    static RowKey progressOfTasks(RowKey main, int occurrence, int step, int range) {
        return new RowKey(main + RANGE_PREFIX + occurrence + "." + step + "." + range);
    }

    /** The job's row of progress to which a row belongs; the row itself if it is that one. */
    static RowKey mainProgress(RowKey key) {
        int range = key.value().indexOf(RANGE_PREFIX, PROGRESS_PREFIX.length());
        return range < 0 ? key : new RowKey(key.value().substring(0, range));
    }

    /**
     * The job that a row of progress belongs to.
     *
     * @throws QuetzalscaleException INVALID_FIELD if the key names no job
     */
    static JobId jobOfProgress(RowKey key) {
        String name = mainProgress(key).value().substring(PROGRESS_PREFIX.length());
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
        String[] segments = key.value().split("/", SEGMENTS);
        if (segments.length < SEGMENTS || !holdsJobs(segments[0] + "/" + segments[1] + "/")) {
            return Optional.empty();
        }
        String name = segments[SEGMENTS - 1];
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

    private static boolean holdsJobs(String prefix) {
        return prefix.equals(SHARD_JOBS_PREFIX) || JOB_PREFIXES.contains(prefix);
    }
}
