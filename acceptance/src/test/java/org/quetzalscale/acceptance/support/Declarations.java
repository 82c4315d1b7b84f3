package org.quetzalscale.acceptance.support;

import java.util.List;

/** The declarations of a small laboratory: two teams, a pool and a queue, a worker per target. */
public final class Declarations {
    /** Team with most of the work. */
    public static final String LARGE_TEAM = "dairy-coop";

    /** Team with little work. */
    public static final String SMALL_TEAM = "advisers";

    /** Upper limit of the small team, in units. */
    public static final int SMALL_LIMIT = 8;

    /** Path of the queue, on which POST is not idempotent. */
    public static final String QUEUE = "/q/nitrate-checks";

    /** Path of a queue of the same pool whose answers may take a minute. */
    public static final String LONG_QUEUE = "/q/nitrate-models";

    private static final String TEAMS_POOL_AND_QUEUE =
            """
            kind: teams
            name: dairy-coop
            spec: {share: 2, upperLimit: 16}
            ---
            kind: teams
            name: advisers
            spec: {share: 1, upperLimit: 8}
            ---
            kind: pools
            name: nitrate
            spec: {minAvailable: 1, spare: false}
            ---
            kind: queues
            name: nitrate-checks
            spec: {pool: nitrate, open: false, timeoutMs: 5000, maxQueued: 100}
            ---
            kind: queues
            name: nitrate-models
            spec: {pool: nitrate, open: false, timeoutMs: 60000, maxQueued: 100}
            """;

    private Declarations() {}

    /** The declarations for targets on these ports; workers are numbered from 1. */
    public static String yaml(List<Integer> targetPorts) {
        StringBuilder text = new StringBuilder(TEAMS_POOL_AND_QUEUE);
        for (int i = 1; i <= targetPorts.size(); i++) {
            text.append(
                    """
                    ---
                    kind: workers
                    name: worker-%1$d
                    spec: {pool: nitrate, address: "127.0.0.1:%2$d", zone: zone-%1$d, rack: rack-%1$d,
                           slots: 8, connections: 64, cores: 64, memoryMib: 131072,
                           accelerators: 0, drain: false}
                    """
                            .formatted(i, targetPorts.get(i - 1)));
        }
        return text.toString();
    }
}
