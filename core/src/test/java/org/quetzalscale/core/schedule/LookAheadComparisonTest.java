package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.schedule.PlacementSimulation.Delays;
import org.quetzalscale.core.schedule.PlacementSimulation.Figures;
import org.quetzalscale.core.schedule.PlacementSimulation.Scenario;
import org.quetzalscale.core.schedule.PlacementSimulation.Served;

/** Compares placement without reservations, with one, and with one for each waiting step. */
final class LookAheadComparisonTest {
    private static final int SEEDS = 3;
    private static final int SECONDS = 20;

    private static Scenario mixed(String name, double load, double runFactor) {
        return new Scenario(name, 0.1, load, runFactor, false, false, SECONDS);
    }

    private static Map<String, LookAhead> rules() {
        Map<String, LookAhead> rules = new LinkedHashMap<>();
        rules.put("today", LookAhead.NONE);
        rules.put("packed", new LookAhead(0, 0, 0.6, false));
        rules.put("easy", new LookAhead(1, 0, 1, false));
        rules.put("easy packed", new LookAhead(1, 0, 0.6, false));
        rules.put("selected", new LookAhead(0, 0, 0.6, true));
        rules.put("in use", LookAhead.FIRST_STEP);
        rules.put("conservative", LookAhead.ALL_STEPS);
        return rules;
    }

    private static Map<String, Figures> compare(Scenario scenario) {
        Map<String, Figures> figures = new LinkedHashMap<>();
        rules().forEach(
                        (rule, lookAhead) -> {
                            Figures result = served(scenario, lookAhead);
                            figures.put(rule, result);
                            print(scenario.name(), rule, result);
                        });
        return figures;
    }

    private static Figures served(Scenario scenario, LookAhead lookAhead) {
        List<Served> served = new ArrayList<>();
        double utilisation = 0;
        int backfilled = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Figures figures = new PlacementSimulation(scenario, lookAhead, seed).run();
            served.addAll(figures.served());
            utilisation += figures.utilisation() / SEEDS;
            backfilled += figures.backfilled();
        }
        return new Figures(served, utilisation, backfilled);
    }

    private static void print(String scenario, String rule, Figures figures) {
        Delays small = figures.small();
        Delays large = figures.large();
        System.out.printf(
                "%-16s %-12s small %5.0f %5.0f %3.0f%%  large %5.0f %5.0f %3.0f%%"
                        + "  used %.3f backfilled %d%n",
                scenario,
                rule,
                small.mean(),
                small.p95(),
                100 * small.onTime(),
                large.mean(),
                large.p95(),
                100 * large.onTime(),
                figures.utilisation(),
                figures.backfilled());
    }

    /** Guards against large jobs that wait while small ones take what becomes free. */
    @Test
    void manySmallWithFewLarge() {
        List<Scenario> scenarios =
                List.of(
                        mixed("mixed 0.8", 0.8, 1),
                        mixed("mixed 0.95", 0.95, 1),
                        mixed("mixed 1.3", 1.3, 1),
                        mixed("mixed 2", 2, 1),
                        mixed("halved", 0.95, 2),
                        mixed("doubled", 0.95, 0.5),
                        new Scenario("slow", 0.1, 0.85, 1, true, false, SECONDS),
                        new Scenario("drain", 0.1, 0.85, 1, false, true, SECONDS));
        for (Scenario scenario : scenarios) {
            Map<String, Figures> figures = compare(scenario);
            Figures today = figures.get("today");
            Figures chosen = figures.get("in use");
            assertThat(chosen.large().mean()).as(scenario.name()).isLessThan(today.large().mean());
            assertThat(chosen.all().onTime())
                    .as(scenario.name())
                    .isGreaterThan(today.all().onTime() - 0.01);
        }
    }

    /**
     * Guards against an overload at which the largest jobs are served less than half as often as
     * all jobs.
     */
    @Test
    void servesTheLargestTenthAtOverload() {
        Figures figures = served(mixed("overload", 1.3, 1), LookAhead.FIRST_STEP);

        assertThat(figures.large().onTime()).isGreaterThan(figures.all().onTime() / 2);
        assertThat(figures.small().onTime()).isGreaterThan(0.95);
    }

    /** Guards against capacity that stays free for a step that cannot use it sooner. */
    @Test
    void allAlike() {
        for (double largeShare : new double[] {0, 1}) {
            String name = largeShare == 0 ? "alike small" : "alike large";
            Map<String, Figures> figures =
                    compare(new Scenario(name, largeShare, 0.95, 1, false, false, SECONDS));
            Figures today = figures.get("today");
            Figures chosen = figures.get("in use");
            assertThat(chosen.all().mean()).as(name).isLessThanOrEqualTo(today.all().mean());
        }
    }
}
