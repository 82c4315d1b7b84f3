package org.quetzalscale.core.maintenance;

import java.util.Set;
import java.util.TreeSet;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.RowKey;

/**
 * The row {@code wave/<name>}: how far a wave is.
 *
 * @param done names of the workers that returned to service
 * @param failed names of the workers whose reboot or replacement failed
 * @param stoppedAt revision of the wave's declaration under which failures stopped it, or 0; a
 *     newer declaration lets it go on
 * @param startedMillis wall-clock time of its start, in ms since 1970
 */
public record WaveRow(Set<String> done, Set<String> failed, long stoppedAt, long startedMillis) {
    /** Prefix of the rows of all waves. */
    public static final String PREFIX = "wave/";

    /** Copies the names. */
    public WaveRow {
        done = Set.copyOf(done);
        failed = Set.copyOf(failed);
    }

    /** A wave that has maintained nothing. */
    public static WaveRow started(long wallMillis) {
        return new WaveRow(Set.of(), Set.of(), 0, wallMillis);
    }

    /** The key of a wave's row. */
    public static RowKey key(WaveId wave) {
        return new RowKey(PREFIX + wave.value());
    }

    /** Whether the wave has finished with the worker. */
    public boolean contains(WorkerId worker) {
        return done.contains(worker.value()) || failed.contains(worker.value());
    }

    /** The row after one more worker returned to service. */
    public WaveRow withDone(WorkerId worker) {
        return new WaveRow(plus(done, worker), failed, stoppedAt, startedMillis);
    }

    /**
     * The row after one more worker failed.
     *
     * @param threshold share of maintained workers that may fail, 0 to 1
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
