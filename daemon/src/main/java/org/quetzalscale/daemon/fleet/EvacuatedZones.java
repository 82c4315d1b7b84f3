package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.tinylog.Logger;

/**
 * The zones that operators evacuate, one row each. A snapshot and the change feed may deliver the
 * same rows in any order; the state with the higher version wins.
 */
final class EvacuatedZones {
    private final String prefix;
    private final List<Consumer<Set<ZoneId>>> listeners = new ArrayList<>();
    private Set<ZoneId> zones = Set.of();

    /** Version of the table whose rows the set shows. */
    private long version = -1;

    /**
     * Creates an empty set.
     *
     * @param prefix common prefix of the row keys; the name of the zone follows
     */
    EvacuatedZones(String prefix) {
        this.prefix = prefix;
    }

    Set<ZoneId> current() {
        return zones;
    }

    /** Registers a listener for changes. */
    void addListener(Consumer<Set<ZoneId>> listener) {
        listeners.add(listener);
    }

    /** Applies a snapshot that has all rows with the prefix. */
    void applySnapshot(RowSnapshot snapshot) {
        if (snapshot.version() < version) {
            return;
        }
        version = snapshot.version();
        Set<ZoneId> found = new TreeSet<>();
        for (Row row : snapshot.rows()) {
            zoneOf(row.key()).ifPresent(found::add);
        }
        update(found);
    }

    /** Applies changes that the feed delivered. */
    void applyChanges(Changes changes) {
        Set<ZoneId> next = new TreeSet<>(zones);
        for (ChangedRow row : changes.rows()) {
            if (row.version() <= version) {
                continue;
            }
            Optional<ZoneId> zone = zoneOf(row.key());
            if (row.value().isPresent()) {
                zone.ifPresent(next::add);
            } else {
                zone.ifPresent(next::remove);
            }
        }
        version = Math.max(version, changes.version());
        update(next);
    }

    private Optional<ZoneId> zoneOf(RowKey key) {
        if (!key.value().startsWith(prefix)) {
            return Optional.empty();
        }
        String name = key.value().substring(prefix.length());
        return StoreFailures.decodeOrLog(key, () -> new ZoneId(name));
    }

    private void update(Set<ZoneId> next) {
        if (next.equals(zones)) {
            return;
        }
        Set<ZoneId> before = zones;
        zones = Set.copyOf(next);
        next.stream()
                .filter(zone -> !before.contains(zone))
                .forEach(zone -> Logger.info("event=zone_evacuated zone={}", zone));
        before.stream()
                .filter(zone -> !next.contains(zone))
                .forEach(zone -> Logger.info("event=zone_restored zone={}", zone));
        listeners.forEach(listener -> listener.accept(zones));
    }
}
