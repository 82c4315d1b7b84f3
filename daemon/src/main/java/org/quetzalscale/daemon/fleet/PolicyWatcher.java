package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.instance.WaveRequest;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.tinylog.Logger;

/**
 * Watches what operators write: the configuration, whose version only increases, maintenance waves,
 * and the zones that they evacuate.
 */
public final class PolicyWatcher {
    // A feed that stops answering is noticed after this time and the margin of the call, so that a
    // change still takes effect within two seconds.
    private static final int FEED_WAIT_MILLIS = 1_000;
    private static final int RETRY_DELAY_MILLIS = 100;

    private final FeedTable table;
    private final LoopClock clock;
    private final OperatorRows rows;
    private final EvacuatedZones evacuations;
    private final List<Consumer<FleetPolicy>> listeners = new ArrayList<>();
    private final SortedMap<Long, ReceivedWave> waves = new TreeMap<>();
    private FleetPolicy current;
    private long confirmedMillis;
    private boolean stopped;
    private boolean storeUnavailable;

    /**
     * Where operators write, and in which format.
     *
     * @param table first segment of the row keys
     * @param prefix common prefix of the row keys
     * @param configKey the row of the configuration
     * @param wavePrefix common prefix of the row keys of waves
     * @param evacuationPrefix common prefix of the row keys of evacuations; the name of the zone
     *     follows
     */
    public record OperatorRows(
            String table,
            String prefix,
            RowKey configKey,
            String wavePrefix,
            String evacuationPrefix,
            Function<String, FleetPolicy> policyCodec,
            Function<String, WaveRequest> waveCodec) {}

    /** A wave and when it was received, on the monotonic clock. */
    public record ReceivedWave(WaveRequest request, long receivedMillis) {}

    /** Creates a watcher that has read nothing yet. */
    public PolicyWatcher(FeedTable table, LoopClock clock, OperatorRows rows) {
        this.table = table;
        this.clock = clock;
        this.rows = rows;
        this.evacuations = new EvacuatedZones(rows.evacuationPrefix());
    }

    /** Starts watching. */
    public void start() {
        load();
    }

    /** Stops watching. */
    public void stop() {
        stopped = true;
    }

    /** The newest configuration read; empty before the first read. */
    public Optional<FleetPolicy> current() {
        return Optional.ofNullable(current);
    }

    /**
     * When the store last confirmed that there is no newer configuration, on the monotonic clock.
     */
    public long confirmedMillis() {
        return confirmedMillis;
    }

    /** Reads the configuration outside the feed. The stage fails if the store does not answer. */
    CompletionStage<Void> readPolicy() {
        return table.read(rows.configKey())
                .thenAccept(
                        row -> {
                            markConfirmed();
                            row.ifPresent(
                                    found -> applyRow(found.key(), Optional.of(found.value())));
                        });
    }

    /**
     * Reads the evacuated zones outside the feed, which may be late. The stage fails if the store
     * does not answer.
     */
    CompletionStage<Void> readEvacuatedZones() {
        return table.snapshot(rows.evacuationPrefix()).thenAccept(evacuations::applySnapshot);
    }

    /**
     * The zones that operators evacuate, as last read. An instance that is cut off from the store
     * keeps the last known set.
     */
    public Set<ZoneId> evacuatedZones() {
        return evacuations.current();
    }

    /** Registers a listener for changes of the evacuated zones. */
    public void addEvacuationListener(Consumer<Set<ZoneId>> listener) {
        evacuations.addListener(listener);
    }

    /** The waves that operators requested, by number. */
    public SortedMap<Long, ReceivedWave> waves() {
        return waves;
    }

    /** Registers a listener for newer configurations. */
    public void addListener(Consumer<FleetPolicy> listener) {
        listeners.add(listener);
    }

    private void load() {
        if (stopped) {
            return;
        }
        table.snapshot(rows.prefix())
                .whenComplete(
                        (snapshot, failure) ->
                                clock.runOrRetry(
                                        () -> loaded(snapshot, failure),
                                        RETRY_DELAY_MILLIS,
                                        this::load));
    }

    private void loaded(RowSnapshot snapshot, Throwable failure) {
        if (failure != null) {
            retry(failure, this::load);
            return;
        }
        markConfirmed();
        // Before the configuration, which may begin a term.
        evacuations.applySnapshot(snapshot);
        snapshot.rows().forEach(row -> applyRow(row.key(), Optional.of(row.value())));
        watch(snapshot.version());
    }

    private void watch(long version) {
        if (stopped) {
            return;
        }
        table.changesAfter(rows.table(), version, FEED_WAIT_MILLIS)
                .whenComplete(
                        (changes, failure) ->
                                clock.runOrRetry(
                                        () -> changesReceived(version, changes, failure),
                                        RETRY_DELAY_MILLIS,
                                        () -> watch(version)));
    }

    private void changesReceived(long version, Changes changes, Throwable failure) {
        if (failure == null) {
            markConfirmed();
            evacuations.applyChanges(changes);
            for (ChangedRow row : changes.rows()) {
                applyRow(row.key(), row.value());
            }
            watch(changes.version());
            return;
        }
        retry(failure, StoreFailures.isHistoryLost(failure) ? this::load : () -> watch(version));
    }

    private void markConfirmed() {
        confirmedMillis = clock.nowMillis();
        if (storeUnavailable) {
            storeUnavailable = false;
            Logger.info("event=store_back reader=policy");
        }
    }

    private void retry(Throwable failure, Runnable action) {
        if (!storeUnavailable) {
            storeUnavailable = true;
            Logger.warn("event=store_lost reader=policy cause=\"{}\"", failure.getMessage());
        }
        clock.after(RETRY_DELAY_MILLIS, action);
    }

    private void applyRow(RowKey key, Optional<String> value) {
        if (value.isEmpty()) {
            return;
        }
        try {
            if (key.equals(rows.configKey())) {
                updatePolicy(rows.policyCodec().apply(value.get()));
            } else if (key.value().startsWith(rows.wavePrefix())) {
                WaveRequest wave = rows.waveCodec().apply(value.get());
                waves.putIfAbsent(wave.number(), new ReceivedWave(wave, clock.nowMillis()));
                Logger.info(
                        "event=wave_received wave={} instances={} max_down={} duration_ms={}",
                        wave.number(),
                        wave.instances().size(),
                        wave.maxDown(),
                        wave.durationMillis());
            }
        } catch (RuntimeException e) {
            Logger.error("event=row_ignored key={} cause=\"{}\"", key, e.getMessage());
        }
    }

    private void updatePolicy(FleetPolicy policy) {
        if (current != null && policy.version() <= current.version()) {
            return;
        }
        current = policy;
        Logger.info(
                "event=policy version={} routes={} pools={} organisations={} keys={}",
                policy.version(),
                policy.routes().size(),
                policy.pools().size(),
                policy.organisations().size(),
                policy.keys().size());
        listeners.forEach(listener -> listener.accept(policy));
    }
}
