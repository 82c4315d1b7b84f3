package org.quetzalscale.core.config;

import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/**
 * Tracks which registered instances that are not known otherwise may still accept work under an
 * older revision. The copy of an instance that is known only from the registry can be valid only
 * through a table read, so it counts as pending until that validity has expired. Not thread-safe.
 */
public final class RegistrationTracker {
    private static final int MAX_READS = 1_000;

    private final InstanceId self;
    private final TreeMap<Revision, Long> readMillis = new TreeMap<>();
    private Set<InstanceId> registered = Set.of();

    /** Starts with no registry read. */
    public RegistrationTracker(InstanceId self) {
        this.self = self;
    }

    /**
     * Records a read of the registry.
     *
     * @param committed a revision that was committed before the read started
     */
    public void read(Set<InstanceId> instances, Revision committed, long nowMillis) {
        registered = Set.copyOf(instances);
        if (readMillis.ceilingKey(committed) == null) {
            readMillis.put(committed, nowMillis);
        }
        if (readMillis.size() > MAX_READS) {
            readMillis.pollFirstEntry();
        }
    }

    /** Returns whether the registry has to be read for this revision. */
    public boolean needsRead(Revision committed) {
        return readMillis.ceilingKey(committed) == null;
    }

    /** Returns the registered instances as of the latest read. */
    public Set<InstanceId> registered() {
        return registered;
    }

    /**
     * Returns the registered instances that may still accept work under a revision older than the
     * given one, or this instance if the registry was not read since that revision was committed.
     *
     * @param known the other instances that are known otherwise
     */
    public SortedSet<InstanceId> pending(Revision revision, Set<InstanceId> known, long nowMillis) {
        SortedSet<InstanceId> pending = new TreeSet<>();
        Map.Entry<Revision, Long> read = readMillis.ceilingEntry(revision);
        if (read == null) {
            pending.add(self);
            return pending;
        }
        if (nowMillis - read.getValue() < InForceTracker.EXPIRY_MILLIS) {
            pending.addAll(registered);
            pending.removeAll(known);
            pending.remove(self);
        }
        return pending;
    }
}
