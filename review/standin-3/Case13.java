package org.quetzalscale.standin.soak;

import java.util.Set;

/**
 * An upkeep that a former owner ordered is carried out late, beside one that the new owner has
 * ordered.
 */
final class Case13 {
    private static final String FIRST = "m-2";
    private static final String SECOND = "m-6";

    /** The rack of the first machine, which has no other worker. */
    private static final String LABEL = "r2-1";

    private static final String JOB = "/plot/13aa00000000000a";
    private static final int LATE_MILLIS = 4_800;
    private static final int CAP = 1;

    private Case13() {}

    public static void main(String[] args) {
        CaseBench.run(args, Case13::play);
    }

    private static boolean play(CaseBench bench, boolean trouble) throws java.io.IOException {
        UpkeepCloud cloud = new UpkeepCloud(bench, Set.of(FIRST, SECOND), CAP);
        bench.cloud = cloud;
        bench.startWorkers(27, DeploymentConfig.pools());
        bench.startNodes(3, config -> {});
        CaseBench.sleep(3_000);
        if (trouble) {
            cloud.carryOutNextLate(LATE_MILLIS);
        }
        bench.rows.put(
                "op",
                "wave/1",
                "{\"wave\":1,\"machines\":[\"" + FIRST + "\",\"" + SECOND
                        + "\"],\"durationS\":25,\"cap\":" + CAP + "}");
        bench.record.add("operator: wave 1 of %s and %s, cap %d", FIRST, SECOND, CAP);
        if (trouble) {
            String owner = bench.awaitValue(
                    "an upkeep is ordered",
                    10,
                    () -> java.util.Optional.of(cloud.lateCaller()).filter(n -> !n.isEmpty()));
            NodeProcess node =
                    bench.nodes.all().stream()
                            .filter(n -> n.name().equals(owner))
                            .findFirst()
                            .orElseThrow();
            bench.record.add("trouble: %s gets SIGTERM", owner);
            node.terminate(500);
        }
        NodeProcess other =
                bench.nodes.all().stream()
                        .filter(n -> !n.name().equals(cloud.lateCaller()))
                        .findFirst()
                        .orElseThrow();
        CaseBench.sleep(200);
        bench.call(
                io.netty.handler.codec.http.HttpMethod.POST,
                other,
                JOB,
                CaseBench.body(1, 8_000, 8_000, LABEL));
        bench.await("both machines have had their upkeep", 40, cloud::isDone);
        return !cloud.hasExceededCap();
    }
}
