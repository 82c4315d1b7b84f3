package org.quetzalscale.core.config;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;

/**
 * The other instances that may accept or apply changes: those on the platform's latest list and
 * those discovered through siblings, except those listed as gone and those whose address refuses
 * connections. Not thread-safe.
 */
public final class KnownInstances {
    private final InstanceId self;
    private final Set<InstanceId> listed = new HashSet<>();
    private final Set<InstanceId> discovered = new HashSet<>();
    private final Set<InstanceId> gone = new HashSet<>();
    private final Set<InstanceId> refusing = new HashSet<>();
    private final Map<InstanceId, Long> incarnations = new HashMap<>();

    /** Starts with no other instance. */
    public KnownInstances(InstanceId self) {
        this.self = self;
    }

    /** Returns the known instances without this one, sorted by id. */
    public SortedSet<InstanceId> all() {
        SortedSet<InstanceId> known = new TreeSet<>(listed);
        known.addAll(discovered);
        known.removeAll(refusing);
        known.removeAll(gone);
        known.remove(self);
        return Collections.unmodifiableSortedSet(known);
    }

    /** Returns the known instances and those that refused connections, which may have restarted. */
    public SortedSet<InstanceId> allWithRefusing() {
        SortedSet<InstanceId> known = new TreeSet<>(all());
        known.addAll(refusing);
        return Collections.unmodifiableSortedSet(known);
    }

    /** Returns the latest known incarnation of an instance, if it has sent a hello. */
    public Optional<Long> incarnation(InstanceId id) {
        return Optional.ofNullable(incarnations.get(id));
    }

    /** Replaces the listed instances by those of the platform's list. */
    public void list(List<Member> members) {
        listed.clear();
        gone.clear();
        for (Member member : members) {
            InstanceId id = new InstanceId(member.name());
            if (member.state() == MemberState.GONE) {
                gone.add(id);
                discovered.remove(id);
                incarnations.remove(id);
            } else {
                listed.add(id);
            }
        }
        refusing.retainAll(listed);
    }

    /**
     * Records the hello of an instance.
     *
     * @param incarnation differs for each process that runs under the id
     */
    public void recordHello(InstanceId id, long incarnation) {
        incarnations.put(id, incarnation);
        discovered.add(id);
        refusing.remove(id);
    }

    /** Adds instances that another instance knows. */
    public void addDiscovered(Set<InstanceId> ids) {
        discovered.addAll(ids);
    }

    /** Records that the address of an instance refused a connection: its process has ended. */
    public void recordRefusal(InstanceId id) {
        refusing.add(id);
        discovered.remove(id);
        incarnations.remove(id);
    }
}
