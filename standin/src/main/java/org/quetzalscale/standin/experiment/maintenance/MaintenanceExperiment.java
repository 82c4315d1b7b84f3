package org.quetzalscale.standin.experiment.maintenance;

import java.io.PrintStream;
import java.util.List;
import java.util.function.Supplier;

/** Prints the comparison of wave and move strategies. */
public final class MaintenanceExperiment {
    private static final long SEED = 20_261_204L;
    private static final long MAX_WAVE_SECONDS = 2 * 86_400L;
    private static final long MOVES_SECONDS = 4 * 3_600L;
    private static final double SHORT_BURST_SECONDS = 10;
    private static final double LONG_BURST_SECONDS = 600;

    private MaintenanceExperiment() {}

    /** Runs all parts; takes no arguments. */
    public static void main(String[] args) {
        PrintStream out = System.out;
        for (FleetShape shape : List.of(FleetShape.silokem(), FleetShape.hollis())) {
            out.printf("%s: %d workers, seed %d%n", shape.name(), shape.workers(), SEED);
            waves(out, shape);
            moves(out, shape, SHORT_BURST_SECONDS);
            moves(out, shape, LONG_BURST_SECONDS);
        }
        FleetShape large = FleetShape.large();
        out.printf(
                "%s: %d workers, %d pools, seed %d%n",
                large.name(), large.workers(), large.sizes().size(), SEED);
        FleetModel model =
                new FleetModel(
                        large,
                        SHORT_BURST_SECONDS,
                        Strategies.planner(),
                        Strategies.movePlanner(),
                        SEED);
        out.println(model.runWave(MAX_WAVE_SECONDS).line("policy"));
    }

    private static void waves(PrintStream out, FleetShape shape) {
        out.printf(" waves, bursts of %.0f s%n", SHORT_BURST_SECONDS);
        wave(out, shape, "one at a time", Strategies.oneAtATime(), Strategies.staticPools());
        wave(out, shape, "whole racks", Strategies.wholeRacks(), Strategies.staticPools());
        wave(out, shape, "policy, static pools", Strategies.planner(), Strategies.staticPools());
        wave(out, shape, "policy, with moves", Strategies.planner(), Strategies.movePlanner());
    }

    private static void wave(
            PrintStream out,
            FleetShape shape,
            String name,
            WaveStrategy waves,
            MoveStrategy moveStrategy) {
        FleetModel model = new FleetModel(shape, SHORT_BURST_SECONDS, waves, moveStrategy, SEED);
        out.println(model.runWave(MAX_WAVE_SECONDS).line(name));
    }

    private static void moves(PrintStream out, FleetShape shape, double burstSeconds) {
        out.printf(" moves in %d h, bursts of %.0f s%n", MOVES_SECONDS / 3_600, burstSeconds);
        move(out, shape, burstSeconds, "static pools", Strategies::staticPools);
        move(out, shape, burstSeconds, "greedy mover", Strategies::greedy);
        move(out, shape, burstSeconds, "policy", Strategies::movePlanner);
    }

    private static void move(
            PrintStream out,
            FleetShape shape,
            double burstSeconds,
            String name,
            Supplier<MoveStrategy> strategy) {
        FleetModel model =
                new FleetModel(shape, burstSeconds, Strategies.noWave(), strategy.get(), SEED);
        out.println(model.run(MOVES_SECONDS).line(name));
    }
}
