package org.quetzalscale.core.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;

/**
 * Chooses how a call reaches the store. The store may refuse single instances while it serves the
 * others; calls then go through one of those until the store answers this one again. While it
 * serves none, all siblings fail, and calls go directly as before.
 *
 * <p>Times are milliseconds of one monotonic clock. Not safe for use by several threads.
 */
public final class StoreRoute {
    /** Between two direct calls that find out whether the store answers again. */
    private static final long PROBE_MILLIS = 200;

    /** How long a sibling that could not help is left alone. */
    private static final long PAUSE_MILLIS = 1_000;

    private final Map<InstanceId, Long> pausedUntilMillis = new HashMap<>();
    private List<InstanceId> siblings = List.of();
    private boolean direct = true;
    private long nextProbeMillis;

    /** When a sibling last said that the store does not answer it either. */
    private long refusedAllMillis = Long.MIN_VALUE / 2;

    /** Whether the store answered the last direct call. */
    public boolean isDirect() {
        return direct;
    }

    /** Takes the other instances. The one that helped last stays first. */
    public void siblings(List<InstanceId> present) {
        List<InstanceId> ordered = new ArrayList<>(siblings);
        ordered.retainAll(present);
        present.stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        siblings = ordered;
        pausedUntilMillis.keySet().retainAll(present);
    }

    /** The store answered a direct call. */
    public void directAnswered() {
        direct = true;
    }

    /** A direct call failed. */
    public void directFailed(long nowMillis) {
        if (direct) {
            direct = false;
            nextProbeMillis = nowMillis + PROBE_MILLIS;
        }
    }

    /** The sibling for a call; empty if the call is to go directly. */
    public Optional<InstanceId> next(long nowMillis) {
        if (direct) {
            return Optional.empty();
        }
        return siblings.stream()
                .filter(id -> nowMillis >= pausedUntilMillis.getOrDefault(id, Long.MIN_VALUE))
                .findFirst();
    }

    /** Whether the store answers neither this instance nor a sibling that can be reached. */
    public boolean isUnavailableToAll(long nowMillis) {
        return !direct && nowMillis - refusedAllMillis < 2 * PAUSE_MILLIS;
    }

    /**
     * A call through the sibling failed. Others are tried before it.
     *
     * @param answered whether the sibling itself answered
     */
    public void siblingFailed(InstanceId id, boolean answered, long nowMillis) {
        if (answered) {
            refusedAllMillis = nowMillis;
        }
        pausedUntilMillis.put(id, nowMillis + PAUSE_MILLIS);
        List<InstanceId> ordered = new ArrayList<>(siblings);
        if (ordered.remove(id)) {
            ordered.add(id);
            siblings = ordered;
        }
    }

    /** Whether a direct call is due that finds out whether the store answers again. */
    public boolean takeProbe(long nowMillis) {
        if (direct || nowMillis < nextProbeMillis) {
            return false;
        }
        nextProbeMillis = nowMillis + PROBE_MILLIS;
        return true;
    }
}
