package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.lease.SiblingRoster;

/** The connections between simulated processes, and partitions of the network. */
final class SimulatedNetwork {
    private static final int SIBLING_MILLIS = 1;
    private static final int REGISTRATION_DELAY_MILLIS = 1_500;
    private static final int REFRESH_MILLIS = 3_000;

    private final VirtualLoop loop;
    private final SimulatedStore store;

    /** The process and the service of each instance. */
    private final Map<String, Member> members = new LinkedHashMap<>();

    /** Instances that have a row in nodes/fleet. */
    private final Set<String> registered = new HashSet<>();

    /** The registered instances that each process has read last; all if it is missing here. */
    private final Map<SimulatedProcess, Set<String>> known = new HashMap<>();

    private final Map<SimulatedProcess, SiblingRoster> rosters = new HashMap<>();

    /** Processes that are cut off from all others, and reach each other. */
    private Set<SimulatedProcess> side = Set.of();

    /** Workers that only these processes reach. */
    private Set<String> nearWorkers = Set.of();

    private record Member(SimulatedProcess process, OwnerService owner) {}

    SimulatedNetwork(VirtualLoop loop, SimulatedStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Adds the process of an instance, in place of its former one. */
    void add(String instance, SimulatedProcess process, OwnerService owner) {
        members.put(instance, new Member(process, owner));
    }

    /**
     * Registers an instance as SiblingDirectory does, and reads the others from time to time while
     * the store serves its process.
     */
    void join(String instance, SimulatedProcess process) {
        rosters.put(process, new SiblingRoster());
        read(process);
        process.cutFrom(nearWorkers);
        loop.after(
                REGISTRATION_DELAY_MILLIS,
                () -> {
                    if (process.isAlive()) {
                        registered.add(instance);
                    }
                });
        refresh(process);
    }

    private void refresh(SimulatedProcess process) {
        if (!process.isAlive()) {
            return;
        }
        if (process.store == SimulatedProcess.StoreAccess.SERVED && !store.unavailable) {
            read(process);
        }
        loop.after(REFRESH_MILLIS, () -> refresh(process));
    }

    private void read(SimulatedProcess process) {
        known.put(process, Set.copyOf(registered));
        rosters.get(process)
                .update(
                        registered.stream().map(InstanceId::new).collect(Collectors.toSet()),
                        loop.nowMillis());
    }

    /** Deletes the row of an instance that stops gracefully. */
    void leave(String instance) {
        registered.remove(instance);
    }

    private boolean knows(SimulatedProcess asking, String instance) {
        return !known.containsKey(asking) || known.get(asking).contains(instance);
    }

    /** Asks the siblings of a process. */
    CompletionStage<Optional<List<LeaseView>>> askSiblings(SimulatedProcess asking) {
        CompletableFuture<Optional<List<LeaseView>>> reply = new CompletableFuture<>();
        loop.after(SIBLING_MILLIS, () -> asking.deliver(SIBLING_MILLIS, reply, viewsFor(asking)));
        return reply;
    }

    private Optional<List<LeaseView>> viewsFor(SimulatedProcess asking) {
        if (rosters.containsKey(asking) && !rosters.get(asking).isComplete()) {
            return Optional.empty();
        }
        List<LeaseView> views = new ArrayList<>();
        for (Map.Entry<String, Member> entry : members.entrySet()) {
            Member member = entry.getValue();
            SimulatedProcess sibling = member.process();
            if (sibling == asking || !knows(asking, entry.getKey())) {
                continue;
            }
            boolean cut = asking.cutFromSiblings != sibling.cutFromSiblings;
            cut |= asking.cutFromSiblings && !side.contains(sibling);
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

    /**
     * Divides the network: on one side some processes and a worker, which reach each other, on the
     * other side the store and all else.
     */
    void divide(Set<SimulatedProcess> near, String worker, List<SimulatedWorker> workers) {
        near.forEach(process -> divide(process, worker, workers));
        near.forEach(process -> process.cutFrom(othersThan(worker, workers)));
        side = near;
        nearWorkers = Set.of(worker);
    }

    private static Set<String> othersThan(String worker, List<SimulatedWorker> workers) {
        return workers.stream()
                .map(each -> each.id)
                .filter(id -> !id.equals(worker))
                .collect(Collectors.toSet());
    }

    /** Ends a partition. */
    void unite() {
        side = Set.of();
        nearWorkers = Set.of();
        for (Member member : members.values()) {
            member.process().cutFrom(Set.of());
            member.process().store = SimulatedProcess.StoreAccess.SERVED;
            member.process().cutFromSiblings = false;
        }
    }
}
