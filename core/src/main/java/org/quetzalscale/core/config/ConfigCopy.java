package org.quetzalscale.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.id.Revision;

/**
 * One instance's copy of the configuration. It applies changes in the order of their revisions and
 * never returns to a lower revision. Not thread-safe.
 */
public final class ConfigCopy {
    private static final int MAX_HISTORY_CHANGES = ConfigStore.KEPT_CHANGES;
    private static final int MAX_WAITING_CHANGES = 1_000;

    private final TreeMap<Revision, Change> waiting = new TreeMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;

    /** Returns the current state. */
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the revision of the current state. */
    public Revision revision() {
        return snapshot.revision();
    }

    /**
     * Offers a change, which may be old, duplicate or out of order.
     *
     * @return the changes that were applied because of it, in order
     */
    public List<Change> offer(Change change) {
        if (!change.revision().isNewerThan(revision())) {
            return List.of();
        }
        waiting.putIfAbsent(change.revision(), change);
        if (waiting.size() > MAX_WAITING_CHANGES) {
            waiting.pollLastEntry();
        }
        return applyWaiting();
    }

    /**
     * Offers a snapshot.
     *
     * @return whether it was newer than the current state and replaced it
     */
    public boolean offer(ConfigSnapshot newer) {
        if (!newer.revision().isNewerThan(revision())) {
            return false;
        }
        snapshot = newer;
        history.clear();
        waiting.headMap(newer.revision(), true).clear();
        applyWaiting();
        return true;
    }

    /** Returns the changes after a revision in order, or empty if some are not kept here. */
    public Optional<List<Change>> changesAfter(Revision after) {
        if (!revision().isNewerThan(after)) {
            return Optional.of(List.of());
        }
        if (history.isEmpty() || history.peekFirst().revision().isNewerThan(after.next())) {
            return Optional.empty();
        }
        return Optional.of(
                history.stream().filter(change -> change.revision().isNewerThan(after)).toList());
    }

    private List<Change> applyWaiting() {
        List<Change> applied = new ArrayList<>();
        for (Change next = waiting.remove(revision().next());
                next != null;
                next = waiting.remove(revision().next())) {
            snapshot = snapshot.apply(next);
            applied.add(next);
            history.addLast(next);
            if (history.size() > MAX_HISTORY_CHANGES) {
                history.removeFirst();
            }
        }
        return applied;
    }
}
