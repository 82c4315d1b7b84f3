package org.quetzalscale.standin.experiment;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** Compares the schemes for sharing worker slots under bursts of one pool, in virtual time. */
public final class SlotSchemeExperiment {
    private static final int SEEDS = 5;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long RUN_MICROS = 200 * SECOND_MICROS;
    private static final long CYCLE_MICROS = 20 * SECOND_MICROS;
    private static final long BURST_MICROS = 4 * SECOND_MICROS;
    private static final double BURST_FACTOR = 5;
    private static final double QUIET_FACTOR = 0.05;
    private static final double MEAN_LOAD = 0.3;
    private static final long DEATH_MICROS = 102 * SECOND_MICROS;

    private SlotSchemeExperiment() {}

    /** Prints the tables for several service times and spreads of callers over instances. */
    public static void run(PrintStream out) {
        for (long serviceMillis : new long[] {20, 100, 500}) {
            for (boolean skewed : new boolean[] {false, true}) {
                out.printf(
                        "service time %d ms, %s, deadline %d ms%n",
                        serviceMillis,
                        skewed
                                ? "half of the callers at 1 of 8 instances"
                                : "callers spread evenly",
                        deadlineMillis(serviceMillis));
                out.printf(
                        "%-28s %9s %9s %9s %9s %8s %6s%n",
                        "scheme", "p50 ms", "p99 ms", "on time", "refusals", "expired", "lost");
                schemes()
                        .forEach(
                                (name, scheme) ->
                                        out.printf(
                                                "%-28s %s%n",
                                                name, simulate(scheme, serviceMillis, skewed)));
            }
        }
    }

    private static Map<String, Function<SlotModel, SlotScheme>> schemes() {
        Map<String, Function<SlotModel, SlotScheme>> schemes = new LinkedHashMap<>();
        schemes.put("owner, one more hop", OwnerScheme::new);
        schemes.put("slots dealt out", PartitionScheme::new);
        schemes.put("optimistic", m -> new OptimisticScheme(m, false, false, 100_000));
        schemes.put("optimistic, 10 ms", m -> new OptimisticScheme(m, false, false, 10_000));
        schemes.put("optimistic, skip full", m -> new OptimisticScheme(m, true, false, 100_000));
        schemes.put(
                "optimistic, skip full, 10 ms", m -> new OptimisticScheme(m, true, false, 10_000));
        schemes.put("part, 100 ms", m -> new OptimisticScheme(m, false, true, 100_000));
        schemes.put("part, 10 ms", m -> new OptimisticScheme(m, false, true, 10_000));
        schemes.put("part, 2 ms", m -> new OptimisticScheme(m, false, true, 2_000));
        schemes.put("part, skip full, 100 ms", m -> new OptimisticScheme(m, true, true, 100_000));
        schemes.put("part, skip full, 10 ms", m -> new OptimisticScheme(m, true, true, 10_000));
        return schemes;
    }

    private static String simulate(
            Function<SlotModel, SlotScheme> scheme, long serviceMillis, boolean skewed) {
        SlotTally tally = new SlotTally();
        for (long seed = 0; seed < SEEDS; seed++) {
            SlotModel model = new SlotModel(seed, tally);
            SlotScheme tested = scheme.apply(model);
            arriveNext(model, tested, serviceMillis, skewed);
            model.clock.after(
                    DEATH_MICROS,
                    () -> {
                        model.dead[0] = true;
                        tested.die(0);
                    });
            model.clock.runUntil(RUN_MICROS);
        }
        return tally.row();
    }

    /** Poisson arrivals whose rate follows the bursts. */
    private static void arriveNext(
            SlotModel model, SlotScheme scheme, long serviceMillis, boolean skewed) {
        double capacityPerMicro = SlotModel.WORKERS * SlotModel.SLOTS / (serviceMillis * 1_000.0);
        boolean burst = model.clock.nowMicros() % CYCLE_MICROS < BURST_MICROS;
        double rate = capacityPerMicro * MEAN_LOAD * (burst ? BURST_FACTOR : QUIET_FACTOR);
        long gap = (long) Math.max(1, exponential(model, 1 / rate));
        model.clock.after(
                gap,
                () -> {
                    long now = model.clock.nowMicros();
                    long service = (long) Math.max(1, exponential(model, serviceMillis * 1_000.0));
                    model.tally.arrived();
                    scheme.arrive(
                            instance(model, skewed),
                            new ModelRequest(
                                    now, now + deadlineMillis(serviceMillis) * 1_000, service));
                    arriveNext(model, scheme, serviceMillis, skewed);
                });
    }

    private static long deadlineMillis(long serviceMillis) {
        return 2_000 + 5 * serviceMillis;
    }

    private static int instance(SlotModel model, boolean skewed) {
        int chosen;
        do {
            chosen =
                    skewed && model.random.nextBoolean()
                            ? SlotModel.INSTANCES - 1
                            : model.random.nextInt(SlotModel.INSTANCES);
        } while (model.dead[chosen]);
        return chosen;
    }

    private static double exponential(SlotModel model, double mean) {
        return -mean * Math.log(1 - model.random.nextDouble());
    }
}
