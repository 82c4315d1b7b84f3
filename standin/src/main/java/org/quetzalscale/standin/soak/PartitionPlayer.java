package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Cuts a node and some machines from the store, the list and all other nodes and machines. */
final class PartitionPlayer {
    private final Nodes nodes;
    private final Workers workers;
    private final Faults faults;
    private final Timeline timeline;

    PartitionPlayer(Nodes nodes, Workers workers, Faults faults, Timeline timeline) {
        this.nodes = nodes;
        this.workers = workers;
        this.faults = faults;
        this.timeline = timeline;
    }

    /**
     * Begins a partition.
     *
     * @param node the only node on its side
     * @param machines the machines on the side of the node
     * @return ends the partition
     */
    Runnable begin(NodeProcess node, List<Machine> machines) {
        timeline.add(
                "partition: %s with %s",
                node.name(),
                machines.stream().map(Machine::name).collect(Collectors.joining(", ")));
        List<Fault> cuts = new ArrayList<>();
        cuts.add(cut(Fault.STORE, node));
        cuts.add(cut(Fault.LIST, node));
        nodes.all().stream()
                .filter(other -> other != node)
                .forEach(other -> addCuts(node, machines, other, cuts));
        workers.machines().stream()
                .filter(machine -> !machines.contains(machine))
                .forEach(machine -> cuts.add(cut(machine.name(), node)));
        cuts.forEach(faults::begin);
        machines.forEach(workers::cut);
        return () -> {
            cuts.forEach(faults::end);
            machines.forEach(workers::heal);
        };
    }

    private static void addCuts(
            NodeProcess node, List<Machine> machines, NodeProcess other, List<Fault> cuts) {
        cuts.add(cut(node.name(), other));
        cuts.add(cut(other.name(), node));
        machines.forEach(machine -> cuts.add(cut(machine.name(), other)));
    }

    private static Fault cut(String place, NodeProcess caller) {
        return new Fault(FaultMode.SILENT, place, caller.name(), 1, 0);
    }
}
