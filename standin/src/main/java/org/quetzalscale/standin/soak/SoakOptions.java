package org.quetzalscale.standin.soak;

import java.nio.file.Path;

/**
 * What a soak plays.
 *
 * @param scenario the kinds of trouble and of jobs
 * @param seed seed of the troubles and of the clients
 * @param seconds how long clients submit jobs, and the troubles last
 * @param nodes number of nodes, at least 2
 * @param workers number of machines with a worker
 * @param checkout a built checkout, whose deploy file tells how to start a node
 * @param folder where the settings, logs and the timeline are written
 */
public record SoakOptions(
        Scenario scenario,
        long seed,
        int seconds,
        int nodes,
        int workers,
        Path checkout,
        Path folder) {
    private static final int MIN_NODES = 2;
    private static final int MIN_WORKERS = 5;

    /** Checks the numbers. */
    public SoakOptions {
        if (seconds < 1 || nodes < MIN_NODES || workers < MIN_WORKERS) {
            throw new IllegalArgumentException(
                    "a soak needs at least 1 second, "
                            + MIN_NODES
                            + " nodes and "
                            + MIN_WORKERS
                            + " workers");
        }
    }
}
