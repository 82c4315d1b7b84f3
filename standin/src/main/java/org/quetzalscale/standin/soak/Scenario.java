package org.quetzalscale.standin.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** What kinds of trouble a soak plays, and with which jobs. */
public enum Scenario {
    /** Troubles of nearly all kinds, in series. */
    MIXED(TroublePlan::draw, JobMix.Durations.MIXED, 140),
    /** The owner and one or two workers are cut from all else. */
    PARTITION(ScenarioPlan::partition, JobMix.Durations.MOSTLY_SHORT, 180),
    /** A true list of instances is late or lags, while workers restart and refuse connections. */
    LATE_LIST(ScenarioPlan::lateList, JobMix.Durations.MOSTLY_SHORT, 180),
    /** Two workers are cut from the store while the owner is replaced. */
    CUT_WORKERS(ScenarioPlan::cutWorkers, JobMix.Durations.MOSTLY_SHORT, 180),
    /** The list of instances shows a silent worker that runs as down or moving. */
    WRONG_LIST(ScenarioPlan::wrongList, JobMix.Durations.MOSTLY_SHORT, 180),
    /** A worker carries out starts that its former incarnation got. */
    LATE_START(ScenarioPlan::lateStart, JobMix.Durations.MOSTLY_SHORT, 180);

    /** Draws the troubles of a soak. The same arguments always give the same troubles. */
    @FunctionalInterface
    interface Plan {
        List<Trouble> draw(long seed, int millis, int nodes, int machines);
    }

    private final Plan plan;
    private final JobMix.Durations durations;
    private final int submitMillis;

    Scenario(Plan plan, JobMix.Durations durations, int submitMillis) {
        this.plan = plan;
        this.durations = durations;
        this.submitMillis = submitMillis;
    }

    /**
     * Returns the scenario with a name such as "late-list".
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Scenario of(String name) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.optionName().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(unknown(name)));
    }

    private static String unknown(String name) {
        String names =
                Arrays.stream(values()).map(Scenario::optionName).collect(Collectors.joining(", "));
        return "no scenario " + name + "; there are " + names;
    }

    /** The name as an option of the command. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    Plan plan() {
        return plan;
    }

    JobMix.Durations durations() {
        return durations;
    }

    /** Time between two submissions of a client. */
    int submitMillis() {
        return submitMillis;
    }
}
