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
 * Dependencies and settings of the services that own the fleet.
 *
 * @param self this instance
 * @param calls client for workers
 * @param workers where the entries of workers are stored
 * @param instances client for the platform's instances
 * @param waveStatus where the state of waves is published
 * @param siblings asked while the store does not confirm the owner's lease
 * @param looksAhead whether placement reserves capacity and selects jobs at overload
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
        FleetMetrics metrics,
        SiblingViews siblings,
        boolean looksAhead) {
    /** Creates a context without siblings whose placement does not look ahead. */
    public FleetContext(
            InstanceId self,
            LoopClock clock,
            FeedTable table,
            WorkerCalls calls,
            WorkerRows workers,
            InstanceCalls instances,
            WaveStatusRows waveStatus,
            Times times,
            FleetMetrics metrics) {
        this(
                self,
                clock,
                table,
                calls,
                workers,
                instances,
                waveStatus,
                times,
                metrics,
                SiblingViews.NO_SIBLINGS,
                false);
    }

    /** This context with other clients for workers and instances. */
    FleetContext withCalls(WorkerCalls newCalls, InstanceCalls newInstances) {
        return new FleetContext(
                self,
                clock,
                table,
                newCalls,
                workers,
                newInstances,
                waveStatus,
                times,
                metrics,
                siblings,
                looksAhead);
    }

    /**
     * Where operators read the state of waves.
     *
     * @param key row key for the number of a wave
     * @param text the row's text for the number of a wave and whether it is completed
     */
    public record WaveStatusRows(
            LongFunction<RowKey> key, BiFunction<Long, Boolean, String> text) {}

    /**
     * Times of the deployment, in milliseconds.
     *
     * @param ownerHandover least time between orders of two owners for one instance
     * @param maintenance how long a maintenance takes
     * @param statusRetention how long the state of an ended job can be queried
     */
    public record Times(long ownerHandover, long maintenance, long statusRetention) {}

    /**
     * Where the entries of workers are stored.
     *
     * @param table first segment of the row keys
     * @param prefix common prefix of the row keys; the worker's name follows
     * @param codec decodes an entry from the worker's name and the row's text
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
