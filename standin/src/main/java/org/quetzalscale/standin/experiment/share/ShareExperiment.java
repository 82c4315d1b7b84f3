package org.quetzalscale.standin.experiment.share;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.share.MaxMinShare;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.share.ShareMeter;
import org.quetzalscale.core.share.TeamDemand;
import org.quetzalscale.core.time.TimeSource;

/**
 * Runs the same jobs under first come first served and under the product's policy, and prints each
 * team's distance from its share, the time to start of urgent work, and lost work.
 */
public final class ShareExperiment {
    private static final long ARRIVAL_MILLIS = 360_000;
    private static final long MAX_MILLIS = 1_800_000;
    private static final long TICK_MILLIS = 200;

    private final Workload workload;
    private final Fleet fleet = new Fleet();
    private long nowMillis;

    private ShareExperiment(Workload workload) {
        this.workload = workload;
    }

    /**
     * Runs the experiment.
     *
     * @param args the seed, 1 by default, and the mean of jobs per second of a team of weight 1,
     *     0.75 by default
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        double jobsPerSecond = args.length > 1 ? Double.parseDouble(args[1]) : 0.75;
        Workload workload = Workload.of(seed, ARRIVAL_MILLIS, jobsPerSecond);
        System.out.printf(
                Locale.ROOT,
                "seed %d, %d jobs in %d s%n",
                seed,
                workload.arrivals().size(),
                ARRIVAL_MILLIS / 1_000);
        new ShareExperiment(workload)
                .run("first come first served", (runner, time) -> new FirstComePolicy(runner));
        ShareExperiment policy = new ShareExperiment(workload);
        policy.run("policy", (runner, time) -> new SharePolicy(policy.fleet, runner, time));
    }

    private void run(String name, BiFunction<ObservedRunner, TimeSource, Policy> factory) {
        ObservedRunner runner = new ObservedRunner(() -> nowMillis);
        Policy policy = factory.apply(runner, () -> nowMillis);
        ShareMeter meter = new ShareMeter();
        Map<String, Workload.Arrival> submitted = new HashMap<>();
        Map<String, Workload.Arrival> unstarted = new HashMap<>();
        int next = 0;
        int peakWaiting = 0;
        while (nowMillis < MAX_MILLIS) {
            while (next < workload.arrivals().size()
                    && workload.arrivals().get(next).atMillis() <= nowMillis) {
                Workload.Arrival arrival = workload.arrivals().get(next++);
                submitted.put(arrival.id().value(), arrival);
                unstarted.put(arrival.id().value(), arrival);
                policy.submit(arrival);
            }
            policy.tick();
            unstarted.keySet().removeIf(job -> runner.firstStartMillis(job).isPresent());
            peakWaiting = Math.max(peakWaiting, unstarted.size());
            observe(meter, runner, submitted, unstarted);
            if (next == workload.arrivals().size() && policy.isIdle()) {
                break;
            }
            nowMillis += TICK_MILLIS;
        }
        print(name, runner, meter, peakWaiting);
    }

    /** Entitlements follow from declared sizes for both, so that the same measure is applied. */
    private void observe(
            ShareMeter meter,
            ObservedRunner runner,
            Map<String, Workload.Arrival> submitted,
            Map<String, Workload.Arrival> unstarted) {
        Resources capacity =
                new Resources(Fleet.CORES, Fleet.MEMORY_MIB, 0, Fleet.SLOTS).times(Fleet.WORKERS);
        Map<TeamId, Resources> used = new TreeMap<>();
        for (String job : runner.runningJobs()) {
            Workload.Arrival arrival = submitted.get(job);
            used.merge(
                    arrival.spec().team(), FirstComePolicy.size(arrival.spec()), Resources::plus);
        }
        Map<TeamId, Resources> demand = new TreeMap<>(used);
        for (Workload.Arrival arrival : unstarted.values()) {
            demand.merge(
                    arrival.spec().team(), FirstComePolicy.size(arrival.spec()), Resources::plus);
        }
        List<TeamDemand> demands = new ArrayList<>();
        for (int i = 0; i < Workload.WEIGHTS.length; i++) {
            TeamId team = Workload.team(i);
            demands.add(
                    new TeamDemand(
                            team,
                            Workload.WEIGHTS[i],
                            Workload.UPPER_LIMIT,
                            demand.getOrDefault(team, Resources.NONE)));
        }
        meter.observe(nowMillis, capacity, MaxMinShare.divide(capacity, demands), used);
    }

    private void print(String name, ObservedRunner runner, ShareMeter meter, int peakWaiting) {
        List<Long> urgent = new ArrayList<>();
        for (Workload.Arrival arrival : workload.arrivals()) {
            if (arrival.spec().urgent()) {
                runner.firstStartMillis(arrival.id().value())
                        .ifPresent(start -> urgent.add(start - arrival.atMillis()));
            }
        }
        Collections.sort(urgent);
        long late = urgent.stream().filter(millis -> millis > 2_700).count();
        System.out.printf(Locale.ROOT, "%n%s%n", name);
        meter.distances()
                .forEach(
                        (team, distance) ->
                                System.out.printf(
                                        Locale.ROOT, "  %s distance %.3f%n", team, distance));
        System.out.printf(
                Locale.ROOT,
                "  urgent start p50 %d ms, p99 %d ms, worst %d ms, later than 2.7 s %d of %d%n",
                quantile(urgent, 0.5),
                quantile(urgent, 0.99),
                quantile(urgent, 1),
                late,
                urgent.size());
        System.out.printf(
                Locale.ROOT,
                "  lost work %.1f s, stops %d, throttles %d, peak waiting %d, all ended at %d s%n",
                runner.lostMillis() / 1_000.0,
                runner.stops(),
                runner.throttles(),
                peakWaiting,
                nowMillis / 1_000);
    }

    private static long quantile(List<Long> sorted, double quantile) {
        return sorted.isEmpty() ? 0 : sorted.get((int) (quantile * (sorted.size() - 1)));
    }
}
