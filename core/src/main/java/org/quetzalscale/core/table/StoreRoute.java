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
 * responds to this instance again.
 *
 * <p>The load that this class answers is a store, or one full partition, that refuses all
 * instances: a sibling is refused as well, and each relayed call is one more call to the store.
 * After two siblings were refused, no call is relayed for a pause. Then one call at a time asks
 * another sibling, until one is served. The pause outlasts direct calls that succeed, because a
 * full partition accepts single calls.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class StoreRoute {
    /** Interval between direct calls that probe whether the store responds again. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** How long a sibling is not used after it failed. */
    private static final long SIBLING_PAUSE_MILLIS = 1_000;

    /**
     * Refused siblings after which the store is taken to refuse all instances. The store may refuse
     * a part of the instances, so one sibling does not tell.
     */
    private static final int REFUSALS_BEFORE_PAUSE = 2;

    /** How long no call is relayed after the store refused siblings as well. */
    private static final long RELAY_PAUSE_MILLIS = 500;

    /** How long a refusal of a sibling tells about the store. */
    private static final long REFUSAL_AGE_MILLIS = 2_000;

    private final Map<InstanceId, Long> refusedMillis = new HashMap<>();
    private final Map<InstanceId, Long> pausedUntilMillis = new HashMap<>();
    private List<InstanceId> siblings = List.of();
    private boolean direct = true;
    private long nextProbeMillis;

    private long relaysPausedUntilMillis = Long.MIN_VALUE;

    /** The sibling of the only relayed call after a pause, until it is answered. */
    private Optional<InstanceId> asked = Optional.empty();

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
        refusedMillis.keySet().retainAll(current);
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
        boolean pausing = asked.isPresent() || nowMillis < relaysPausedUntilMillis;
        if (direct || (pausing && isRefusedToAll(nowMillis))) {
            return Optional.empty();
        }
        return siblings.stream()
                .filter(id -> nowMillis >= pausedUntilMillis.getOrDefault(id, Long.MIN_VALUE))
                .findFirst();
    }

    /** Records that a call is sent through the sibling; its outcome must be recorded as well. */
    public void onSiblingCall(InstanceId id, long nowMillis) {
        if (isRefusedToAll(nowMillis)) {
            asked = Optional.of(id);
        }
    }

    /** Whether the store serves neither this instance nor any sibling that can be reached. */
    public boolean isUnavailableToAll(long nowMillis) {
        return !direct && recentRefusals(nowMillis) > 0;
    }

    /** Records that the store responded to a call through a sibling. */
    public void onSiblingSuccess() {
        refusedMillis.clear();
        asked = Optional.empty();
    }

    /**
     * Records that a call through the sibling failed, and moves the sibling to the end of the list.
     *
     * @param answered whether the sibling itself replied
     */
    public void onSiblingFailure(InstanceId id, boolean answered, long nowMillis) {
        if (asked.equals(Optional.of(id))) {
            asked = Optional.empty();
        }
        if (answered) {
            refusedMillis.put(id, nowMillis);
            relaysPausedUntilMillis = nowMillis + RELAY_PAUSE_MILLIS;
        }
        pausedUntilMillis.put(id, nowMillis + SIBLING_PAUSE_MILLIS);
        List<InstanceId> ordered = new ArrayList<>(siblings);
        if (ordered.remove(id)) {
            ordered.add(id);
            siblings = ordered;
        }
    }

    /** Whether so many siblings were refused that the store is taken to refuse all instances. */
    public boolean isRefusedToAll(long nowMillis) {
        int needed = Math.min(REFUSALS_BEFORE_PAUSE, siblings.size());
        return needed > 0 && recentRefusals(nowMillis) >= needed;
    }

    private long recentRefusals(long nowMillis) {
        return refusedMillis.values().stream()
                .filter(refused -> nowMillis - refused < REFUSAL_AGE_MILLIS)
                .count();
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
