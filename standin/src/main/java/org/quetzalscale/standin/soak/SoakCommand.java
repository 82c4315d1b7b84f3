package org.quetzalscale.standin.soak;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;

/**
 * Plays a soak. Exits with 0 if all rules held, with 1 if one was broken, and with 2 if the
 * deployment could not be started.
 */
@Command(name = "soak", description = "Plays nodes as processes under seeded troubles")
public final class SoakCommand implements Runnable {
    private static final int BROKEN_EXIT_CODE = 1;
    private static final int CANNOT_RUN_EXIT_CODE = 2;

    @Option(
            name = "--scenario",
            description =
                    "Kinds of trouble: mixed, partition, late-list, cut-workers, wrong-list or"
                            + " late-start")
    private String scenario = Scenario.MIXED.optionName();

    @Option(name = "--seed", description = "Seed of the troubles and clients")
    private long seed = 1;

    @Option(name = "--seconds", description = "Time of traffic and troubles, in s")
    private int seconds = 60;

    @Option(name = "--nodes", description = "Number of nodes")
    private int nodes = 4;

    @Option(name = "--workers", description = "Number of machines with a worker")
    private int workers = 10;

    @Required
    @Option(name = "--system", description = "Built checkout whose nodes are played")
    private String system;

    @Option(name = "--work", description = "Folder for settings, logs and the timeline")
    private String work = "";

    @Override
    public void run() {
        Path folder = Path.of(work.isEmpty() ? "target/soak/" + scenario + "-" + seed : work);
        SoakResult result;
        try {
            result = new Soak(options(folder)).play();
        } catch (IllegalArgumentException | Soak.CannotRunException e) {
            System.err.println(e.getMessage());
            System.exit(CANNOT_RUN_EXIT_CODE);
            return;
        }
        result.lines().forEach(System.out::println);
        System.out.println("timeline: " + folder.toAbsolutePath().resolve("timeline.txt"));
        System.exit(result.held() ? 0 : BROKEN_EXIT_CODE);
    }

    private SoakOptions options(Path folder) {
        return new SoakOptions(
                Scenario.of(scenario), seed, seconds, nodes, workers, Path.of(system), folder);
    }
}
