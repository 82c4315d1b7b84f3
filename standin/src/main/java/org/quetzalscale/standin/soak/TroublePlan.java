package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.quetzalscale.standin.soak.Trouble.Kind;

/**
 * Draws the troubles of a soak from a seed: series in which troubles overlap, with calm times
 * between them. The same arguments always give the same troubles.
 */
final class TroublePlan {
    private static final int FIRST_MILLIS = 1_000;
    private static final int MAX_DEAD_WORKERS = 2;
    private static final Range SERIES_TROUBLES = new Range(3, 7);
    private static final Range GAP_MILLIS = new Range(50, 1_800);
    private static final Range CALM_MILLIS = new Range(1_000, 5_000);

    /** Beyond the lease of an owner. */
    private static final Range LONG_PAUSE_MILLIS = new Range(2_000, 9_000);

    private static final Map<Kind, Range> DURATIONS = durations();
    private static final Map<Kind, Range> TAKEOVER_DELAYS = takeoverDelays();
    private static final List<Kind> OWNER_KINDS =
            List.of(Kind.NODE_TERMINATED, Kind.NODE_KILLED, Kind.NODE_PAUSED);
    private static final List<Kind> KINDS = weightedKinds();
    private static final List<FaultMode> CUTS =
            List.of(FaultMode.SILENT, FaultMode.SILENT, FaultMode.REFUSED, FaultMode.RESET);
    private static final List<FaultMode> OUTAGES =
            List.of(FaultMode.SILENT, FaultMode.REFUSED, FaultMode.SLOW);
    private static final List<FaultMode> UNANSWERED =
            List.of(FaultMode.CHANGES_LATE, FaultMode.CHANGES_LOST, FaultMode.ANSWERS_LOST);
    private static final List<FaultMode> WRONG_LISTS =
            List.of(FaultMode.STALE, FaultMode.STALE, FaultMode.SILENT, FaultMode.REFUSED);

    private final Random random;
    private final int nodes;
    private final int machines;
    private int deadWorkers;

    private TroublePlan(long seed, int nodes, int machines) {
        this.random = new Random(seed);
        this.nodes = nodes;
        this.machines = machines;
    }

    /** Draws the troubles, in the order of their beginnings; all end within the time. */
    static List<Trouble> draw(long seed, int millis, int nodes, int machines) {
        return new TroublePlan(seed, nodes, machines).draw(millis);
    }

    private List<Trouble> draw(int millis) {
        List<Trouble> troubles = new ArrayList<>();
        int at = FIRST_MILLIS;
        while (at < millis) {
            int count = SERIES_TROUBLES.draw(random);
            for (int i = 0; i < count && at < millis; i++) {
                Trouble trouble = drawOne(at);
                troubles.add(trouble);
                if (TAKEOVER_DELAYS.containsKey(trouble.kind()) && random.nextBoolean()) {
                    troubles.add(drawTakeover(trouble));
                }
                at += GAP_MILLIS.draw(random);
            }
            at += CALM_MILLIS.draw(random);
        }
        troubles.removeIf(trouble -> trouble.endMillis() > millis);
        troubles.sort(Comparator.comparing(Trouble::atMillis));
        return troubles;
    }

    /** Draws a trouble of the owner that follows a worker's, so that it ends its term. */
    private Trouble drawTakeover(Trouble cause) {
        Kind kind = OWNER_KINDS.get(random.nextInt(OWNER_KINDS.size()));
        Range duration = kind == Kind.NODE_PAUSED ? LONG_PAUSE_MILLIS : DURATIONS.get(kind);
        return new Trouble(
                kind,
                cause.atMillis() + TAKEOVER_DELAYS.get(cause.kind()).draw(random),
                duration.draw(random),
                true,
                random.nextInt(nodes),
                cause.machine(),
                drawMode(kind),
                1,
                random.nextBoolean());
    }

    private Trouble drawOne(int atMillis) {
        Kind kind = drawKind();
        return new Trouble(
                kind,
                atMillis,
                DURATIONS.get(kind).draw(random),
                random.nextBoolean(),
                random.nextInt(nodes),
                random.nextInt(machines),
                drawMode(kind),
                random.nextBoolean() ? 1 : random.nextDouble(),
                random.nextBoolean());
    }

    private Kind drawKind() {
        Kind kind = KINDS.get(random.nextInt(KINDS.size()));
        if (kind != Kind.WORKER_DEAD) {
            return kind;
        }
        deadWorkers++;
        return deadWorkers <= MAX_DEAD_WORKERS ? kind : Kind.WORKER_CUT_FROM_STORE;
    }

    private FaultMode drawMode(Kind kind) {
        List<FaultMode> modes =
                switch (kind) {
                    case STORE_DOWN -> OUTAGES;
                    case STORE_CHANGES_UNANSWERED -> UNANSWERED;
                    case WORKER_ANSWERS_LOST -> List.of(FaultMode.ANSWERS_LOST);
                    case WORKER_LATE -> List.of(FaultMode.CHANGES_LATE);
                    case LIST_WRONG -> WRONG_LISTS;
                    default -> CUTS;
                };
        return modes.get(random.nextInt(modes.size()));
    }

    /** Changes of the owner and workers without an entry come more often than the others. */
    private static List<Kind> weightedKinds() {
        List<Kind> kinds = new ArrayList<>(DURATIONS.keySet());
        kinds.addAll(
                List.of(
                        Kind.NODE_TERMINATED,
                        Kind.NODE_KILLED,
                        Kind.NODE_PAUSED,
                        Kind.NODE_PAUSED,
                        Kind.WORKER_CUT_FROM_STORE,
                        Kind.WORKER_CUT_FROM_STORE,
                        Kind.WORKER_CUT_FROM_NODES,
                        Kind.WORKER_HANGS));
        return kinds;
    }

    /**
     * How long after some troubles of workers the owner changes. A worker that is cut from the
     * store loses its entry after three heartbeats.
     */
    private static Map<Kind, Range> takeoverDelays() {
        Map<Kind, Range> delays = new EnumMap<>(Kind.class);
        delays.put(Kind.WORKER_CUT_FROM_STORE, new Range(4_000, 6_500));
        delays.put(Kind.WORKER_CUT_FROM_NODES, new Range(100, 2_000));
        delays.put(Kind.WORKER_ANSWERS_LOST, new Range(100, 2_000));
        delays.put(Kind.WORKER_LATE, new Range(100, 2_000));
        delays.put(Kind.WORKER_HANGS, new Range(100, 4_000));
        delays.put(Kind.WORKER_DEAD, new Range(0, 3_000));
        return delays;
    }

    private static Map<Kind, Range> durations() {
        Map<Kind, Range> durations = new EnumMap<>(Kind.class);
        durations.put(Kind.NODE_TERMINATED, new Range(200, 2_000));
        durations.put(Kind.NODE_KILLED, new Range(500, 4_000));
        durations.put(Kind.NODE_PAUSED, new Range(300, 12_000));
        durations.put(Kind.NODE_CUT_FROM_STORE, new Range(1_000, 12_000));
        durations.put(Kind.NODE_ISOLATED, new Range(1_000, 8_000));
        durations.put(Kind.STORE_DOWN, new Range(1_000, 8_000));
        durations.put(Kind.STORE_CHANGES_UNANSWERED, new Range(1_000, 5_000));
        durations.put(Kind.WORKER_CUT_FROM_STORE, new Range(4_000, 12_000));
        durations.put(Kind.WORKER_CUT_FROM_NODES, new Range(1_000, 10_000));
        durations.put(Kind.WORKER_ANSWERS_LOST, new Range(1_000, 6_000));
        durations.put(Kind.WORKER_LATE, new Range(1_000, 6_000));
        durations.put(Kind.WORKER_RESTARTED, new Range(200, 4_000));
        durations.put(Kind.WORKER_REPLACED, new Range(200, 4_000));
        durations.put(Kind.WORKER_HANGS, new Range(1_000, 8_000));
        durations.put(Kind.MACHINE_MOVED, new Range(1_500, 1_500));
        durations.put(Kind.WORKER_DEAD, new Range(0, 0));
        durations.put(Kind.LIST_WRONG, new Range(1_000, 8_000));
        return durations;
    }
}
