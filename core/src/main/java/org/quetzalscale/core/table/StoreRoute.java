package org.quetzalscale.core.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;

/**
 * Chooses how a call reaches the store: directly or through a sibling. The store may refuse some
 * instances while it serves others; calls then go through one of the others until the store
 * responds to this instance again. During an outage for all instances, every sibling fails and no
 * route is left until a pause ends or a probe succeeds.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class StoreRoute {
    /** Interval between direct calls that probe whether the store responds again. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** How long a sibling is not used after it failed. */
    private static final long SIBLING_PAUSE_MILLIS = 1_000;

    private final Map<InstanceId, Long> pausedUntilMillis = new HashMap<>();
    private List<InstanceId> siblings = List.of();
    private boolean direct = true;
    private long nextProbeMillis;

    /** When a sibling last replied that the store does not serve it either. */
    private long siblingRefusedMillis = Long.MIN_VALUE / 2;

    /** Whether calls go directly, because the store responded to the last direct call. */
    public boolean isDirect() {
        return direct;
    }

    /**
     * Replaces the list of siblings. Those that remain keep their order, so the one that worked
     * last stays first.
     */
    public void updateSiblings(List<InstanceId> current) {
        List<InstanceId> ordered = new ArrayList<>(siblings);
        ordered.retainAll(current);
        current.stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        siblings = ordered;
        pausedUntilMillis.keySet().retainAll(current);
    }

    /** Records that the store responded to a direct call. */
    public void onDirectSuccess() {
        direct = true;
    }

    /** Records that a direct call failed. */
    public void onDirectFailure(long nowMillis) {
        if (direct) {
            direct = false;
            nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        }
    }

    /** The sibling to use for a call; empty if calls go directly or no sibling is available. */
    public Optional<InstanceId> nextSibling(long nowMillis) {
        if (direct) {
            return Optional.empty();
        }
        return siblings.stream()
                .filter(id -> nowMillis >= pausedUntilMillis.getOrDefault(id, Long.MIN_VALUE))
                .findFirst();
    }

    /** Whether the store serves neither this instance nor any sibling that can be reached. */
    public boolean isUnavailableToAll(long nowMillis) {
        return !direct && nowMillis - siblingRefusedMillis < 2 * SIBLING_PAUSE_MILLIS;
    }

    /**
     * Records that a call through the sibling failed, and moves the sibling to the end of the list.
     *
     * @param answered whether the sibling itself replied
     */
    public void onSiblingFailure(InstanceId id, boolean answered, long nowMillis) {
        if (answered) {
            siblingRefusedMillis = nowMillis;
        }
        pausedUntilMillis.put(id, nowMillis + SIBLING_PAUSE_MILLIS);
        List<InstanceId> ordered = new ArrayList<>(siblings);
        if (ordered.remove(id)) {
            ordered.add(id);
            siblings = ordered;
        }
    }

    /** Returns whether a probe is due, and if so schedules the next one. */
    public boolean tryStartProbe(long nowMillis) {
        if (direct || nowMillis < nextProbeMillis) {
            return false;
        }
        nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        return true;
    }
}
