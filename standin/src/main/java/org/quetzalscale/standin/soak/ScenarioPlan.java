package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.quetzalscale.standin.soak.Trouble.Kind;

/**
 * Draws the troubles of the scenarios that are about one cause each: rounds of the same troubles at
 * other nodes and machines and at other times.
 */
final class ScenarioPlan {
    private static final int FIRST_MILLIS = 2_000;

    private static final Range PARTITION_MILLIS = new Range(6_000, 15_000);
    private static final Range PARTITION_GAP_MILLIS = new Range(2_000, 4_000);
    private static final Range COMPANION_DELAY_MILLIS = new Range(200, 3_000);
    private static final Range COMPANION_MILLIS = new Range(1_000, 6_000);
    private static final List<Kind> COMPANIONS =
            List.of(
                    Kind.WORKER_HANGS,
                    Kind.WORKER_RESTARTED,
                    Kind.WORKER_CUT_FROM_STORE,
                    Kind.WORKER_CUT_FROM_NODES);

    private static final Range LIST_MILLIS = new Range(8_000, 16_000);
    private static final List<FaultMode> LIST_MODES =
            List.of(FaultMode.OLD, FaultMode.OLD, FaultMode.SLOW);
    private static final Range OFF_MILLIS = new Range(100, 1_500);
    private static final Range UP_MILLIS = new Range(200, 1_000);
    private static final Range REFUSAL_MILLIS = new Range(3_000, 6_000);
    private static final Range OFF_GAP_MILLIS = new Range(700, 2_000);

    private static final Range CUT_MILLIS = new Range(7_000, 12_000);
    private static final Range CUT_GAP_MILLIS = new Range(1_000, 4_000);

    /** A worker that is cut from the store loses its entry after three heartbeats. */
    private static final Range REPLACEMENT_DELAY_MILLIS = new Range(3_000, 6_500);

    private static final Range REPLACEMENT_MILLIS = new Range(2_000, 6_000);
    private static final List<Kind> REPLACEMENTS =
            List.of(Kind.NODE_TERMINATED, Kind.NODE_KILLED, Kind.NODE_PAUSED);

    private static final Range WRONG_MILLIS = new Range(4_500, 9_000);
    private static final Range WRONG_GAP_MILLIS = new Range(500, 2_500);

    private static final Range HELD_MILLIS = new Range(300, 1_200);
    private static final Range LONG_OFF_MILLIS = new Range(3_500, 6_500);
    private static final Range HELD_GAP_MILLIS = new Range(500, 2_500);

    private final Random random;
    private final int nodes;
    private final int machines;
    private final int endMillis;
    private final List<Trouble> troubles = new ArrayList<>();
    private int listRounds;

    /** Adds the troubles of a round that begins at a time, and returns when the next begins. */
    private interface Round {
        int add(int atMillis);
    }

    private ScenarioPlan(long seed, int millis, int nodes, int machines) {
        this.random = new Random(seed);
        this.endMillis = millis;
        this.nodes = nodes;
        this.machines = machines;
    }

    static List<Trouble> partition(long seed, int millis, int nodes, int machines) {
        ScenarioPlan plan = new ScenarioPlan(seed, millis, nodes, machines);
        return plan.draw(plan::addPartition);
    }

    static List<Trouble> lateList(long seed, int millis, int nodes, int machines) {
        ScenarioPlan plan = new ScenarioPlan(seed, millis, nodes, machines);
        plan.draw(plan::addLateList);
        return plan.draw(plan::addRestartThenRefusal);
    }

    static List<Trouble> cutWorkers(long seed, int millis, int nodes, int machines) {
        ScenarioPlan plan = new ScenarioPlan(seed, millis, nodes, machines);
        return plan.draw(plan::addCutWorkers);
    }

    static List<Trouble> wrongList(long seed, int millis, int nodes, int machines) {
        ScenarioPlan plan = new ScenarioPlan(seed, millis, nodes, machines);
        return plan.draw(plan::addWronglyListedWorker);
    }

    static List<Trouble> lateStart(long seed, int millis, int nodes, int machines) {
        ScenarioPlan plan = new ScenarioPlan(seed, millis, nodes, machines);
        return plan.draw(plan::addHeldStarts);
    }

    /** Adds rounds until the end; troubles that would last longer are left out. */
    private List<Trouble> draw(Round round) {
        int at = FIRST_MILLIS;
        while (at < endMillis) {
            at = round.add(at);
        }
        troubles.removeIf(trouble -> trouble.endMillis() > endMillis);
        troubles.sort(Comparator.comparing(Trouble::atMillis));
        return List.copyOf(troubles);
    }

    private int addPartition(int atMillis) {
        int duration = PARTITION_MILLIS.draw(random);
        add(Kind.PARTITION, atMillis, duration, drawMachine(), FaultMode.SILENT);
        if (random.nextBoolean()) {
            add(
                    COMPANIONS.get(random.nextInt(COMPANIONS.size())),
                    atMillis + COMPANION_DELAY_MILLIS.draw(random),
                    COMPANION_MILLIS.draw(random),
                    drawMachine(),
                    FaultMode.SILENT);
        }
        return atMillis + duration + PARTITION_GAP_MILLIS.draw(random);
    }

    private int addLateList(int atMillis) {
        int duration = Math.min(LIST_MILLIS.draw(random), endMillis - atMillis);
        FaultMode mode = LIST_MODES.get(listRounds % LIST_MODES.size());
        listRounds++;
        add(Kind.LIST_LATE, atMillis, duration, 0, mode);
        return atMillis + duration;
    }

    private int addRestartThenRefusal(int atMillis) {
        int machine = drawMachine();
        int off = OFF_MILLIS.draw(random);
        add(Kind.MACHINE_OFF, atMillis, off, machine, FaultMode.RESET);
        int refusalAt = atMillis + off + UP_MILLIS.draw(random);
        add(Kind.WORKER_REFUSES, refusalAt, REFUSAL_MILLIS.draw(random), machine, FaultMode.RESET);
        return atMillis + OFF_GAP_MILLIS.draw(random);
    }

    private int addCutWorkers(int atMillis) {
        int duration = CUT_MILLIS.draw(random);
        int machine = drawMachine();
        add(Kind.WORKER_CUT_FROM_STORE, atMillis, duration, machine, FaultMode.SILENT);
        add(
                Kind.WORKER_CUT_FROM_STORE,
                atMillis,
                duration,
                (machine + 1) % machines,
                FaultMode.SILENT);
        add(
                REPLACEMENTS.get(random.nextInt(REPLACEMENTS.size())),
                atMillis + REPLACEMENT_DELAY_MILLIS.draw(random),
                REPLACEMENT_MILLIS.draw(random),
                machine,
                FaultMode.SILENT);
        return atMillis + duration + CUT_GAP_MILLIS.draw(random);
    }

    private int addWronglyListedWorker(int atMillis) {
        int machine = drawMachine();
        int duration = WRONG_MILLIS.draw(random);
        FaultMode mode = random.nextBoolean() ? FaultMode.RESET : FaultMode.SILENT;
        add(Kind.WORKER_REFUSES, atMillis, duration, machine, mode);
        add(Kind.MACHINE_LISTED_WRONG, atMillis, duration, machine, mode);
        return atMillis + WRONG_GAP_MILLIS.draw(random);
    }

    private int addHeldStarts(int atMillis) {
        int machine = drawMachine();
        int held = HELD_MILLIS.draw(random);
        add(Kind.STARTS_HELD, atMillis, held, machine, FaultMode.CHANGES_LATE);
        add(
                Kind.MACHINE_OFF,
                atMillis + held,
                LONG_OFF_MILLIS.draw(random),
                machine,
                FaultMode.RESET);
        return atMillis + HELD_GAP_MILLIS.draw(random);
    }

    private int drawMachine() {
        return random.nextInt(machines);
    }

    private void add(Kind kind, int atMillis, int durationMillis, int machine, FaultMode mode) {
        troubles.add(
                new Trouble(
                        kind,
                        atMillis,
                        durationMillis,
                        true,
                        random.nextInt(nodes),
                        machine,
                        mode,
                        1,
                        random.nextBoolean()));
    }
}
