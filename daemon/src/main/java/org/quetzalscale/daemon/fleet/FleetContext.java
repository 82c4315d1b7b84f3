package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.InstanceCalls;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.WorkerCalls;
import org.quetzalscale.core.task.WorkerEntry;

/**
 * What an owner of the fleet works with.
 *
 * @param self this instance
 * @param calls calls to workers
 * @param workers where workers are listed
 * @param instances calls for instances
 */
public record FleetContext(
        InstanceId self,
        LoopClock clock,
        FeedTable table,
        WorkerCalls calls,
        WorkerRows workers,
        InstanceCalls instances,
        WaveStatusRows waveStatus,
        Times times,
        FleetMetrics metrics) {
    /**
     * Where operators read the state of waves.
     *
     * @param key the row of a wave
     * @param text the row's text for a wave's number and whether it is completed
     */
    public record WaveStatusRows(
            LongFunction<RowKey> key, BiFunction<Long, Boolean, String> text) {}

    /**
     * Times of the deployment, in milliseconds.
     *
     * @param ownerTurn least time between orders of two owners for one instance
     * @param maintenance how long a maintenance takes
     * @param statusRetention how long the state of an ended job can be asked for
     */
    public record Times(long ownerTurn, long maintenance, long statusRetention) {}

    /**
     * Where workers are listed.
     *
     * @param table first segment of the rows' keys
     * @param prefix what all keys begin with; the worker's name follows
     * @param codec makes a worker of its name and the row's text
     */
    public record WorkerRows(
            String table, String prefix, BiFunction<String, String, WorkerEntry> codec) {
        Optional<String> nameOf(RowKey key) {
            return key.value().startsWith(prefix)
                    ? Optional.of(key.value().substring(prefix.length()))
                    : Optional.empty();
        }

        Optional<WorkerId> idOf(RowKey key) {
            try {
                return nameOf(key).map(WorkerId::new);
            } catch (QuetzalscaleException e) {
                return Optional.empty();
            }
        }
    }
}
