package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.lease.LeaseView;

/** The connections between simulated processes, and partitions of the network. */
final class SimulatedNetwork {
    private static final int SIBLING_MILLIS = 1;

    private final VirtualLoop loop;
    private final SimulatedStore store;

    /** The process and the service of each instance. */
    private final Map<String, Member> members = new LinkedHashMap<>();

    private record Member(SimulatedProcess process, OwnerService owner) {}

    SimulatedNetwork(VirtualLoop loop, SimulatedStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Adds the process of an instance, in place of its former one. */
    void add(String instance, SimulatedProcess process, OwnerService owner) {
        members.put(instance, new Member(process, owner));
    }

    /** Asks the siblings of a process. */
    CompletionStage<Optional<List<LeaseView>>> askSiblings(SimulatedProcess asking) {
        CompletableFuture<Optional<List<LeaseView>>> reply = new CompletableFuture<>();
        loop.after(SIBLING_MILLIS, () -> asking.deliver(SIBLING_MILLIS, reply, viewsFor(asking)));
        return reply;
    }

    private Optional<List<LeaseView>> viewsFor(SimulatedProcess asking) {
        List<LeaseView> views = new ArrayList<>();
        for (Member member : members.values()) {
            SimulatedProcess sibling = member.process();
            if (sibling == asking) {
                continue;
            }
            boolean cut = asking.cutFromSiblings || sibling.cutFromSiblings;
            if (cut || sibling.isFrozen() || !sibling.isAlive()) {
                return Optional.empty();
            }
            boolean served =
                    !store.unavailable && sibling.store == SimulatedProcess.StoreAccess.SERVED;
            LeaseRow row = member.owner().lastLeaseRow();
            views.add(new LeaseView(served, row.holder(), row.renewals()));
        }
        return Optional.of(views);
    }

    /**
     * Divides the network: on one side a process and a worker, on the other side the store, the
     * other processes and the other workers.
     */
    void divide(SimulatedProcess near, String worker, List<SimulatedWorker> workers) {
        Set<String> others =
                workers.stream()
                        .map(each -> each.id)
                        .filter(id -> !id.equals(worker))
                        .collect(Collectors.toSet());
        members.values().forEach(member -> member.process().cutFrom(Set.of(worker)));
        near.cutFrom(others);
        near.store = SimulatedProcess.StoreAccess.NOT_ANSWERED;
        near.cutFromSiblings = true;
    }

    /** Ends a partition. */
    void unite() {
        for (Member member : members.values()) {
            member.process().cutFrom(Set.of());
            member.process().store = SimulatedProcess.StoreAccess.SERVED;
            member.process().cutFromSiblings = false;
        }
    }
}
