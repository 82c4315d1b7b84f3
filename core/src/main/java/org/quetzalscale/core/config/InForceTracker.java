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
 * Decides whether a change is in force: no instance accepts work under an older revision any more.
 *
 * <p>An instance no longer does so in any of these cases:
 *
 * <ul>
 *   <li>It confirmed the change.
 *   <li>It acknowledged this instance's hello, and {@link #EXPIRY_MILLIS} have passed since this
 *       instance had both the acknowledgement and the change. From the acknowledgement on, the
 *       other instance needs this instance's statements to use its copy without the table.
 *   <li>Its process was found to have ended after this instance learned of the change. An earlier
 *       end does not count, as a new process may have started since.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class InForceTracker {
    /** Validity plus 10 %, because clock rates differ; in milliseconds. */
    public static final long EXPIRY_MILLIS =
            ValidityTracker.VALIDITY_MILLIS + ValidityTracker.VALIDITY_MILLIS / 10;

    private static final int MAX_REVISIONS = 1_000;

    private final TreeMap<Revision, Long> learnedMillis = new TreeMap<>();
    private final Map<InstanceId, Revision> confirmed = new HashMap<>();
    private final Map<InstanceId, Long> acknowledgedMillis = new HashMap<>();
    private final Map<InstanceId, Long> endedMillis = new HashMap<>();

    /** Records that this instance knows of a revision, and so of all earlier ones. */
    public void learn(Revision revision, long nowMillis) {
        if (learnedMillis.ceilingKey(revision) != null) {
            return;
        }
        learnedMillis.put(revision, nowMillis);
        if (learnedMillis.size() > MAX_REVISIONS) {
            learnedMillis.pollFirstEntry();
        }
    }

    /** Records that another instance applied a revision. */
    public void confirm(InstanceId sibling, Revision revision) {
        confirmed.merge(sibling, revision, (a, b) -> a.isNewerThan(b) ? a : b);
    }

    /** Records that another instance acknowledged this instance's hello. */
    public void acknowledge(InstanceId sibling, long nowMillis) {
        acknowledgedMillis.putIfAbsent(sibling, nowMillis);
    }

    /** Records that a connection attempt at the given time found an instance's process ended. */
    public void recordEnd(InstanceId sibling, long calledMillis) {
        remove(sibling);
        endedMillis.put(sibling, calledMillis);
    }

    /** Removes an instance that ended or was replaced by another process. */
    public void remove(InstanceId sibling) {
        confirmed.remove(sibling);
        acknowledgedMillis.remove(sibling);
        endedMillis.remove(sibling);
    }

    /**
     * Returns the known instances that may still accept work under a revision older than the given
     * one.
     */
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
