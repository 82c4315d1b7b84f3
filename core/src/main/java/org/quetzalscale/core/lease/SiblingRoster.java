package org.quetzalscale.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;

/**
 * The siblings of an instance as it has read them from the table, and those that have left the
 * table a short time ago. An instance that restarts deletes its registration and adds it again. In
 * between it may take a lease over, and the holder of that lease cannot ask it while both are cut
 * off from each other.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class SiblingRoster {
    /** Time in which an instance that restarts is registered again. */
    public static final long REJOIN_MILLIS = 60_000;

    private final Map<InstanceId, Long> departedMillis = new HashMap<>();
    private Set<InstanceId> registered = Set.of();

    /** Records the siblings that were read from the table. */
    public void update(Set<InstanceId> read, long nowMillis) {
        Set<InstanceId> departed = new HashSet<>(registered);
        departed.removeAll(read);
        departed.forEach(id -> departedMillis.put(id, nowMillis));
        departedMillis.keySet().removeAll(read);
        departedMillis.values().removeIf(since -> nowMillis - since >= REJOIN_MILLIS);
        registered = Set.copyOf(read);
    }

    /**
     * Whether each sibling that may be running was registered at the last read. An instance that
     * has left counts as gone only by a later read, so not while the table is away.
     */
    public boolean isComplete() {
        return departedMillis.isEmpty();
    }
}
