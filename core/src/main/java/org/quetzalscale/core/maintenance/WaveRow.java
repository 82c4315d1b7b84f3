package org.quetzalscale.core.maintenance;

import java.util.Set;
import java.util.TreeSet;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.RowKey;

/**
 * The row {@code wave/<name>}: the progress of a wave.
 *
 * @param done names of the workers that returned to service
 * @param failed names of the workers whose reboot or replacement failed
 * @param stoppedAt revision of the wave's declaration at which failures stopped it, or 0; a newer
 *     declaration resumes it
 * @param startedMillis wall-clock time of the start, in milliseconds since 1970
 */
public record WaveRow(Set<String> done, Set<String> failed, long stoppedAt, long startedMillis) {
    /** Prefix of the keys of all waves' rows. */
    public static final String PREFIX = "wave/";

    /** Makes defensive copies of the names. */
    public WaveRow {
        done = Set.copyOf(done);
        failed = Set.copyOf(failed);
    }

    /** Returns the row of a wave that has just started. */
    public static WaveRow started(long wallMillis) {
        return new WaveRow(Set.of(), Set.of(), 0, wallMillis);
    }

    /** Returns the key of a wave's row. */
    public static RowKey key(WaveId wave) {
        return new RowKey(PREFIX + wave.value());
    }

    /** Returns whether the wave has maintained the worker, successfully or not. */
    public boolean contains(WorkerId worker) {
        return done.contains(worker.value()) || failed.contains(worker.value());
    }

    /** Returns the row after another worker has returned to service. */
    public WaveRow withDone(WorkerId worker) {
        return new WaveRow(plus(done, worker), failed, stoppedAt, startedMillis);
    }

    /**
     * Returns the row after another worker has failed.
     *
     * @param threshold fraction of the maintained workers that may fail, 0 to 1
     * @param revision revision of the wave's declaration
     */
    public WaveRow withFailed(WorkerId worker, double threshold, long revision) {
        Set<String> all = plus(failed, worker);
        boolean tooMany = all.size() > threshold * (done.size() + all.size());
        return new WaveRow(done, all, tooMany ? revision : stoppedAt, startedMillis);
    }

    private static Set<String> plus(Set<String> names, WorkerId worker) {
        Set<String> changed = new TreeSet<>(names);
        changed.add(worker.value());
        return changed;
    }
}
