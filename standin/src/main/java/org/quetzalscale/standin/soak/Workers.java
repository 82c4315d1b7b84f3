package org.quetzalscale.standin.soak;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** The machines, their workers' registrations in the store, and what may happen to them. */
final class Workers {
    /** Time between two reports of a worker. */
    static final int HEARTBEAT_MILLIS = 1_500;

    private static final int MISSED_HEARTBEATS = 3;
    private static final int TICK_MILLIS = 10;
    private static final int EXPIRY_MILLIS = 50;
    private static final int BACK_MILLIS = 700;
    private static final double LARGEST_CLOCK_ERROR = 0.02;
    private static final int ZONES = 3;
    private static final int RACK_MACHINES = 4;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String TABLE = "servers";

    private final EventLoopGroup group;
    private final CallerLookup callers;
    private final StoreRows rows;
    private final RunRecord record;
    private final Faults faults;
    private final Scheduler scheduler;
    private final Timeline timeline;
    private final Random random;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<String, WireServer> servers = new ConcurrentHashMap<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Map<String, Long> lastReports = new ConcurrentHashMap<>();
    private int lives;

    /** What the workers need of the soak. */
    record Context(
            EventLoopGroup group,
            CallerLookup callers,
            StoreRows rows,
            RunRecord record,
            Faults faults,
            Scheduler scheduler,
            Timeline timeline) {}

    Workers(Context context, long seed) {
        this.group = context.group();
        this.callers = context.callers();
        this.rows = context.rows();
        this.record = context.record();
        this.faults = context.faults();
        this.scheduler = context.scheduler();
        this.timeline = context.timeline();
        this.random = new Random(seed);
    }

    /** Adds machines with a worker each, to the pools in turn. */
    void start(int count, List<String> pools) {
        for (int i = 0; i < count; i++) {
            Machine machine =
                    new Machine(
                            "m-" + (i + 1),
                            pools.get(i % pools.size()),
                            zone(i),
                            "r" + (i % ZONES + 1) + "-" + (i / RACK_MACHINES + 1),
                            faults,
                            scheduler);
            machines.add(machine);
            listen(machine);
            beginLife(machine, newId());
            scheduler.after(
                    i * HEARTBEAT_MILLIS / count,
                    () -> {
                        report(machine);
                        scheduler.every(HEARTBEAT_MILLIS, () -> report(machine));
                    });
        }
        scheduler.every(
                TICK_MILLIS, () -> machines.forEach(m -> m.life().ifPresent(WorkerLife::tick)));
        scheduler.every(EXPIRY_MILLIS, this::expireReports);
    }

    /** The name of the zone of a node or machine with the number. */
    static String zone(int number) {
        return "zone-" + (char) ('a' + number % ZONES);
    }

    List<Machine> machines() {
        return List.copyOf(machines);
    }

    void stop() {
        servers.values().forEach(WireServer::stop);
    }

    private void listen(Machine machine) {
        WireServer server = new WireServer(group, callers, machine::handle);
        machine.listenAt(server.address());
        Optional.ofNullable(servers.put(machine.name(), server)).ifPresent(WireServer::stop);
    }

    private synchronized String newId() {
        return "w-" + (++lives);
    }

    private void beginLife(Machine machine, String id) {
        machine.end();
        double clockRate = 1 - random.nextDouble() * LARGEST_CLOCK_ERROR;
        machine.begin(new WorkerLife(id, clockRate, record, timeline, scheduler));
        timeline.add("worker %s begins on %s in %s", id, machine.name(), machine.pool());
    }

    private void report(Machine machine) {
        if (isCutFromStore(machine)) {
            return;
        }
        machine.life()
                .ifPresent(
                        life -> {
                            if (lastReports.put(life.id(), System.nanoTime()) == null) {
                                timeline.add("entry of %s is listed", life.id());
                            }
                            machine.report().ifPresent(text -> rows.put(TABLE, life.id(), text));
                        });
    }

    private void expireReports() {
        long limit = System.nanoTime() - MISSED_HEARTBEATS * HEARTBEAT_MILLIS * NANOS_PER_MILLI;
        lastReports
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean expired = entry.getValue() < limit;
                            if (expired) {
                                rows.remove(TABLE, entry.getKey());
                                timeline.add("entry of %s is removed", entry.getKey());
                            }
                            return expired;
                        });
    }

    private synchronized boolean isCutFromStore(Machine machine) {
        return cuts.getOrDefault(machine.name(), 0) > 0
                || faults.isUnavailable(Fault.STORE, machine.name());
    }

    /** Cuts the path from a worker to the store. */
    synchronized void cut(Machine machine) {
        cuts.merge(machine.name(), 1, Integer::sum);
    }

    /** Heals a cut; the worker reports soon afterwards. */
    synchronized void heal(Machine machine) {
        cuts.merge(machine.name(), -1, Integer::sum);
        scheduler.after(random.nextInt(BACK_MILLIS), () -> report(machine));
    }

    /** Ends a worker at once. */
    Optional<WorkerLife> crash(Machine machine) {
        Optional<WorkerLife> ended = machine.end();
        resetConnections(machine);
        return ended;
    }

    /** Resets the connections to a machine's worker. */
    void resetConnections(Machine machine) {
        servers.get(machine.name()).resetConnections();
    }

    /** Begins a worker under the id of an ended one, at its address. */
    void restart(Machine machine, String id) {
        beginLife(machine, id);
        report(machine);
    }

    /** Begins a worker under a new id, at the address of the former one. */
    void replace(Machine machine) {
        beginLife(machine, newId());
        report(machine);
    }

    /** Begins a worker under a new id at a new address, as after a move. */
    void join(Machine machine) {
        listen(machine);
        replace(machine);
    }
}
