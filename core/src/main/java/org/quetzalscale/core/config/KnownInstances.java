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
 * The other instances that may accept or apply changes: those on the platform's last list and those
 * that were met, less those that the list shows gone and those whose address refuses connections.
 * Not safe for use by several threads.
 */
public final class KnownInstances {
    private final InstanceId self;
    private final Set<InstanceId> listed = new HashSet<>();
    private final Set<InstanceId> met = new HashSet<>();
    private final Set<InstanceId> gone = new HashSet<>();
    private final Set<InstanceId> refusing = new HashSet<>();
    private final Map<InstanceId, Long> incarnations = new HashMap<>();

    /** Starts with no other instance. */
    public KnownInstances(InstanceId self) {
        this.self = self;
    }

    /** The known instances in order of their ids, without this one. */
    public SortedSet<InstanceId> all() {
        SortedSet<InstanceId> known = new TreeSet<>(listed);
        known.addAll(met);
        known.removeAll(refusing);
        known.removeAll(gone);
        known.remove(self);
        return Collections.unmodifiableSortedSet(known);
    }

    /**
     * The known instances and those that refused connections, which may have started again since.
     */
    public SortedSet<InstanceId> allWithRefusing() {
        SortedSet<InstanceId> known = new TreeSet<>(all());
        known.addAll(refusing);
        return Collections.unmodifiableSortedSet(known);
    }

    /** The process that runs under the id, if it was met. */
    public Optional<Long> incarnation(InstanceId id) {
        return Optional.ofNullable(incarnations.get(id));
    }

    /** Takes the platform's list. */
    public void list(List<Member> members) {
        listed.clear();
        gone.clear();
        for (Member member : members) {
            InstanceId id = new InstanceId(member.name());
            if (member.state() == MemberState.GONE) {
                gone.add(id);
                met.remove(id);
                incarnations.remove(id);
            } else {
                listed.add(id);
            }
        }
        refusing.retainAll(listed);
    }

    /**
     * Takes the greeting of an instance.
     *
     * @param incarnation differs for each process that runs under the id
     */
    public void greet(InstanceId id, long incarnation) {
        incarnations.put(id, incarnation);
        met.add(id);
        refusing.remove(id);
    }

    /** Takes the ids of instances that another instance knows. */
    public void mention(Set<InstanceId> ids) {
        met.addAll(ids);
    }

    /** Takes that the address of an instance refused a connection: its process has ended. */
    public void refuse(InstanceId id) {
        refusing.add(id);
        met.remove(id);
        incarnations.remove(id);
    }
}
