package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Lets troubles happen to a deployment. */
final class TroublePlayer {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Longest delay of a change that is carried out late. */
    private static final int LATE_MILLIS = 6_000;

    /** Longest delay of the answer of a late list. */
    private static final int LATE_LIST_MILLIS = 950;

    /** Age of the state that an old list shows. */
    private static final int OLD_LIST_MILLIS = 1_500;

    /** Longest delay of a call at a slow store. */
    private static final int SLOW_MILLIS = 600;

    /** Longest time for which the list shows a machine as up after its end, if it does not stay. */
    private static final int LISTED_MILLIS = 12_000;

    /** Time in which a node has exited and started after a signal. */
    private static final double RESTART_SECONDS = 7;

    private final Nodes nodes;
    private final Workers workers;
    private final InstanceList list;
    private final StorePorts storePorts;
    private final Faults faults;
    private final Contact contact;
    private final PartitionPlayer partitions;
    private final Scheduler scheduler;
    private final Timeline timeline;

    /** Resets the connections of a node to the store. */
    @FunctionalInterface
    interface StorePorts {
        void resetConnections(String node);
    }

    TroublePlayer(Soak.Parts parts, Scheduler scheduler) {
        this.nodes = parts.nodes();
        this.workers = parts.workers();
        this.list = parts.list();
        this.storePorts = parts.storePorts();
        this.faults = parts.faults();
        this.contact = parts.contact();
        this.timeline = parts.timeline();
        this.partitions = new PartitionPlayer(nodes, workers, faults, timeline);
        this.scheduler = scheduler;
    }

    /** Schedules the troubles, which begin now. */
    void play(List<Trouble> troubles) {
        for (Trouble trouble : troubles) {
            scheduler.after(trouble.atMillis(), () -> begin(trouble));
        }
    }

    private void begin(Trouble trouble) {
        timeline.add("trouble: %s", trouble);
        switch (trouble.kind()) {
            case NODE_TERMINATED, NODE_KILLED -> restartNode(trouble);
            case NODE_PAUSED -> pauseNode(trouble, nodeOf(trouble));
            case NODE_CUT_FROM_STORE -> cutNode(trouble);
            case NODE_ISOLATED -> isolateNode(trouble);
            case STORE_DOWN, STORE_CHANGES_UNANSWERED -> disturbStore(trouble);
            case WORKER_CUT_FROM_STORE -> cutWorkerFromStore(trouble);
            case WORKER_CUT_FROM_NODES -> cutWorkerFromNodes(trouble);
            case WORKER_ANSWERS_LOST, WORKER_LATE -> disturbWorker(trouble);
            case WORKER_RESTARTED, WORKER_REPLACED -> restartWorker(trouble);
            case WORKER_HANGS -> hangWorker(trouble);
            case MACHINE_MOVED -> moveMachine(trouble);
            case WORKER_DEAD -> endWorker(trouble);
            case LIST_WRONG -> disturbList(trouble);
            case PARTITION -> partition(trouble);
            case LIST_LATE -> delayList(trouble);
            case MACHINE_OFF -> switchOff(trouble);
            case WORKER_REFUSES -> refuseConnections(trouble);
            case MACHINE_LISTED_WRONG -> listWrong(trouble);
            case STARTS_HELD -> machineOf(trouble).holdStarts();
            default -> throw new IllegalStateException("unknown trouble " + trouble.kind());
        }
    }

    private Optional<NodeProcess> nodeOf(Trouble trouble) {
        NodeProcess drawn = nodes.all().get(trouble.node());
        NodeProcess node = trouble.atOwner() ? nodes.owner().orElse(drawn) : drawn;
        return node.isRunning() ? Optional.of(node) : Optional.empty();
    }

    private Machine machineOf(Trouble trouble) {
        return workers.machines().get(trouble.machine());
    }

    private void afterwards(Trouble trouble, String what, Runnable end) {
        scheduler.after(
                trouble.durationMillis(),
                () -> {
                    timeline.add("trouble over: %s %s", trouble.kind(), what);
                    end.run();
                });
    }

    private void disturbed(String name, Trouble trouble, double moreSeconds) {
        double now = timeline.seconds();
        contact.disturbed(
                name, now, now + trouble.durationMillis() / MILLIS_PER_SECOND + moreSeconds);
    }

    private void begin(Fault fault, Trouble trouble) {
        faults.begin(fault);
        afterwards(trouble, fault.toString(), () -> faults.end(fault));
    }

    private void restartNode(Trouble trouble) {
        nodeOf(trouble)
                .ifPresent(
                        node -> {
                            disturbed(node.name(), trouble, RESTART_SECONDS);
                            if (trouble.kind() == Trouble.Kind.NODE_KILLED) {
                                timeline.add("node %s: SIGKILL", node.name());
                                node.kill(trouble.durationMillis());
                            } else {
                                timeline.add("node %s: SIGTERM", node.name());
                                node.terminate(trouble.durationMillis());
                            }
                        });
    }

    private void pauseNode(Trouble trouble, Optional<NodeProcess> paused) {
        paused.ifPresent(
                node -> {
                    timeline.add("node %s: SIGSTOP", node.name());
                    disturbed(node.name(), trouble, 0);
                    node.pause();
                    afterwards(trouble, node.name(), node::resume);
                });
    }

    private void cutNode(Trouble trouble) {
        nodeOf(trouble).ifPresent(node -> cutNode(trouble, node));
    }

    private void cutNode(Trouble trouble, NodeProcess node) {
        timeline.add("node %s: cut from the store, %s", node.name(), trouble.mode());
        disturbed(node.name(), trouble, 0);
        begin(new Fault(trouble.mode(), Fault.STORE, node.name(), 1, 0), trouble);
        begin(new Fault(trouble.mode(), Fault.LIST, node.name(), 1, 0), trouble);
        if (trouble.mode() == FaultMode.RESET) {
            storePorts.resetConnections(node.name());
        }
    }

    private void isolateNode(Trouble trouble) {
        Optional<NodeProcess> isolated = nodeOf(trouble);
        isolated.ifPresent(node -> cutNode(trouble, node));
        for (NodeProcess node : isolated.isPresent() ? nodes.all() : List.<NodeProcess>of()) {
            if (node != isolated.get() && node.isRunning()) {
                pauseNode(trouble, Optional.of(node));
            }
        }
    }

    private void disturbStore(Trouble trouble) {
        disturbed(Contact.STORE, trouble, LATE_MILLIS / MILLIS_PER_SECOND);
        boolean down = trouble.kind() == Trouble.Kind.STORE_DOWN;
        int delay = trouble.mode() == FaultMode.SLOW ? SLOW_MILLIS : LATE_MILLIS;
        String node = "";
        if (!down && trouble.choice()) {
            node = nodeOf(trouble).map(NodeProcess::name).orElse("");
        }
        begin(
                new Fault(trouble.mode(), Fault.STORE, node, down ? 1 : trouble.share(), delay),
                trouble);
    }

    private void cutWorkerFromStore(Trouble trouble) {
        Machine machine = machineOf(trouble);
        timeline.add("machine %s: cut from the store", machine.name());
        workers.cut(machine);
        afterwards(trouble, machine.name(), () -> workers.heal(machine));
    }

    /** Cuts a machine from one node, from two or from all. */
    private void cutWorkerFromNodes(Trouble trouble) {
        Machine machine = machineOf(trouble);
        List<NodeProcess> cut = new ArrayList<>();
        nodeOf(trouble).ifPresent(cut::add);
        if (trouble.choice()) {
            cut.add(nodes.all().get((trouble.node() + 1) % nodes.all().size()));
        }
        for (NodeProcess node : cut) {
            timeline.add(
                    "machine %s: cut from %s, %s", machine.name(), node.name(), trouble.mode());
            begin(new Fault(trouble.mode(), machine.name(), node.name(), 1, 0), trouble);
        }
        if (trouble.mode() == FaultMode.RESET) {
            workers.resetConnections(machine);
        }
    }

    private void disturbWorker(Trouble trouble) {
        Machine machine = machineOf(trouble);
        timeline.add("machine %s: %s %.2f", machine.name(), trouble.mode(), trouble.share());
        begin(new Fault(trouble.mode(), machine.name(), "", trouble.share(), LATE_MILLIS), trouble);
    }

    private void restartWorker(Trouble trouble) {
        Machine machine = machineOf(trouble);
        workers.crash(machine)
                .ifPresent(
                        life -> {
                            timeline.add("machine %s: %s ends", machine.name(), life.id());
                            afterwards(
                                    trouble, machine.name(), () -> begin(trouble, machine, life));
                        });
    }

    private void begin(Trouble trouble, Machine machine, WorkerLife former) {
        if (!machine.isFree()) {
            return;
        }
        if (trouble.kind() == Trouble.Kind.WORKER_RESTARTED) {
            workers.restart(machine, former.id());
        } else {
            workers.replace(machine);
        }
    }

    private void hangWorker(Trouble trouble) {
        Machine machine = machineOf(trouble);
        timeline.add("machine %s: hangs, %s", machine.name(), trouble.choice() ? "cut" : "reports");
        machine.hang();
        if (trouble.choice()) {
            workers.cut(machine);
        }
        afterwards(
                trouble,
                machine.name(),
                () -> {
                    machine.resume(trouble.share() == 1);
                    if (trouble.choice()) {
                        workers.heal(machine);
                    }
                });
    }

    private void moveMachine(Trouble trouble) {
        Machine machine = machineOf(trouble);
        if (machine.life().isPresent()) {
            timeline.add("machine %s: moves", machine.name());
            list.move(machine, machine.pool());
        }
    }

    /** The list shows the machine as down at once, after some seconds or never. */
    private void endWorker(Trouble trouble) {
        Machine machine = machineOf(trouble);
        boolean listedForGood = !trouble.choice() && trouble.share() == 1;
        int listedMillis = trouble.choice() ? 0 : (int) (trouble.share() * LISTED_MILLIS);
        timeline.add(
                "machine %s: ends, listed as up %s",
                machine.name(), listedForGood ? "for good" : "for " + listedMillis + " ms");
        workers.crash(machine);
        if (!listedForGood) {
            scheduler.after(listedMillis, machine::listDownIfEnded);
        }
    }

    private void disturbList(Trouble trouble) {
        list.keepStale();
        String node = trouble.choice() ? nodeOf(trouble).map(NodeProcess::name).orElse("") : "";
        begin(new Fault(trouble.mode(), Fault.LIST, node, 1, 0), trouble);
    }

    /** Cuts a node and one or two workers from all else. */
    private void partition(Trouble trouble) {
        nodeOf(trouble).ifPresent(node -> partition(trouble, node));
    }

    private void partition(Trouble trouble, NodeProcess node) {
        List<Machine> machines = new ArrayList<>();
        machines.add(machineOf(trouble));
        if (trouble.choice()) {
            int next = (trouble.machine() + 1) % workers.machines().size();
            machines.add(workers.machines().get(next));
        }
        disturbed(node.name(), trouble, 0);
        afterwards(trouble, node.name(), partitions.begin(node, machines));
    }

    private void delayList(Trouble trouble) {
        int delay = trouble.mode() == FaultMode.OLD ? OLD_LIST_MILLIS : LATE_LIST_MILLIS;
        begin(new Fault(trouble.mode(), Fault.LIST, "", 1, delay), trouble);
    }

    private void switchOff(Trouble trouble) {
        Machine machine = machineOf(trouble);
        Optional<WorkerLife> ended = workers.crash(machine);
        machine.listDownIfEnded();
        ended.ifPresent(
                life -> {
                    timeline.add("machine %s: off, %s ends", machine.name(), life.id());
                    afterwards(trouble, machine.name(), () -> restartIfFree(machine, life));
                });
    }

    private void restartIfFree(Machine machine, WorkerLife former) {
        if (machine.isFree()) {
            workers.restart(machine, former.id());
        }
    }

    private void refuseConnections(Trouble trouble) {
        Machine machine = machineOf(trouble);
        timeline.add("machine %s: answers nothing, %s", machine.name(), trouble.mode());
        begin(new Fault(trouble.mode(), machine.name(), "", 1, 0), trouble);
        if (trouble.mode() == FaultMode.RESET) {
            workers.resetConnections(machine);
        }
    }

    private void listWrong(Trouble trouble) {
        Machine machine = machineOf(trouble);
        machine.showAs(trouble.choice() ? Machine.State.DOWN : Machine.State.MOVING);
        afterwards(trouble, machine.name(), () -> machine.showAs(null));
    }
}
