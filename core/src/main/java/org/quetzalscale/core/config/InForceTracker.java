package org.quetzalscale.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/**
 * Decides whether a change is in force: whether no instance accepts work under an older revision.
 *
 * <p>That holds for an instance that confirmed the change. It also holds for one that acknowledged
 * this instance's hello, as it then needs this instance's word to use its copy without the table,
 * once {@link #EXPIRY_MILLIS} passed since this instance knew of the change and had that
 * acknowledgement. And it holds for one whose process was found ended after this instance knew of
 * the change; an earlier end does not count, as a new process may run since. Not safe for use by
 * several threads.
 */
public final class InForceTracker {
    /** Validity plus a tenth, as clocks differ in speed; in milliseconds. */
    public static final long EXPIRY_MILLIS =
            ValidityTracker.VALIDITY_MILLIS + ValidityTracker.VALIDITY_MILLIS / 10;

    private static final int MAX_REVISIONS = 1_000;

    private final TreeMap<Revision, Long> learnedMillis = new TreeMap<>();
    private final Map<InstanceId, Revision> confirmed = new HashMap<>();
    private final Map<InstanceId, Long> acknowledgedMillis = new HashMap<>();
    private final Map<InstanceId, Long> endedMillis = new HashMap<>();

    /** Takes that this instance now knows of a revision, and so of all before it. */
    public void learn(Revision revision, long nowMillis) {
        if (learnedMillis.ceilingKey(revision) != null) {
            return;
        }
        learnedMillis.put(revision, nowMillis);
        if (learnedMillis.size() > MAX_REVISIONS) {
            learnedMillis.pollFirstEntry();
        }
    }

    /** Takes that another instance applied a revision. */
    public void confirm(InstanceId sibling, Revision revision) {
        confirmed.merge(sibling, revision, (a, b) -> a.isNewerThan(b) ? a : b);
    }

    /** Takes that another instance acknowledged this instance's hello. */
    public void acknowledge(InstanceId sibling, long nowMillis) {
        acknowledgedMillis.putIfAbsent(sibling, nowMillis);
    }

    /** Takes that another instance's process was found ended by a call made at the given time. */
    public void end(InstanceId sibling, long calledMillis) {
        lose(sibling);
        endedMillis.put(sibling, calledMillis);
    }

    /** Forgets an instance that ended or was replaced by another process. */
    public void lose(InstanceId sibling) {
        confirmed.remove(sibling);
        acknowledgedMillis.remove(sibling);
        endedMillis.remove(sibling);
    }

    /** The known instances that may still accept work under a revision older than the given one. */
    public SortedSet<InstanceId> pending(Revision revision, Set<InstanceId> known, long nowMillis) {
        SortedSet<InstanceId> pending = new TreeSet<>();
        for (InstanceId sibling : known) {
            if (!hasConfirmed(sibling, revision)
                    && !hasExpired(sibling, revision, nowMillis)
                    && !hasEnded(sibling, revision)) {
                pending.add(sibling);
            }
        }
        return pending;
    }

    private boolean hasConfirmed(InstanceId sibling, Revision revision) {
        return !revision.isNewerThan(confirmed.getOrDefault(sibling, Revision.NONE));
    }

    private boolean hasEnded(InstanceId sibling, Revision revision) {
        Map.Entry<Revision, Long> learned = learnedMillis.ceilingEntry(revision);
        Long ended = endedMillis.get(sibling);
        return learned != null && ended != null && ended >= learned.getValue();
    }

    private boolean hasExpired(InstanceId sibling, Revision revision, long nowMillis) {
        Map.Entry<Revision, Long> learned = learnedMillis.ceilingEntry(revision);
        Long acknowledged = acknowledgedMillis.get(sibling);
        return learned != null
                && acknowledged != null
                && nowMillis - Math.max(learned.getValue(), acknowledged) >= EXPIRY_MILLIS;
    }
}
