package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** An accepted job whose worker crashes three times, and is shown as failed. */
final class Case12 {
    private static final String PATH = "/quick/12aa22bb33cc44dd";
    private static final String TASK = "12aa22bb33cc44dd.0.0.0";
    private static final int CRASHES = 3;
    private static final int RUN_MILLIS = 2_000;
    private static final int DOWN_MILLIS = 2_000;
    private static final int MAX_ATTEMPTS = 5;

    private Case12() {}

    public static void main(String[] args) {
        CaseBench.run(args, Case12::play);
    }

    private static boolean play(CaseBench bench, boolean trouble) throws java.io.IOException {
        bench.startWorkers(27, DeploymentConfig.pools());
        bench.startNodes(3, Case12::setAttempts);
        bench.submit(PATH, CaseBench.body(1, 2_000, 9_000, ""));
        for (int i = 0; i < CRASHES; i++) {
            Run run =
                    bench.awaitValue(
                            "the task runs", 12, () -> bench.running(r -> r.task().equals(TASK)));
            CaseBench.sleep(RUN_MILLIS);
            if (trouble) {
                crash(bench, run);
            }
        }
        String state = "";
        double limit = bench.record.seconds() + 30;
        while (bench.record.seconds() < limit && !isFinal(state)) {
            CaseBench.sleep(1_000);
            state = bench.state(bench.nodes.all().get(0), PATH);
        }
        long failed =
                bench.runs.runs().stream()
                        .filter(r -> r.task().equals(TASK) && r.how().equals("failed"))
                        .count();
        bench.record.add(
                "the job is shown as %s; %d of its runs have ended failed, %d are permitted",
                state, failed, MAX_ATTEMPTS);
        if (!isFinal(state)) {
            throw new CaseBench.CannotRunException("the job has not ended");
        }
        return !(state.equals("failed") && failed < MAX_ATTEMPTS);
    }

    private static void setAttempts(ObjectNode config) {
        config.path("routes").forEach(r -> ((ObjectNode) r).put("maxAttempts", MAX_ATTEMPTS));
    }

    private static boolean isFinal(String state) {
        return List.of("completed", "failed", "cancelled").contains(state);
    }

    /** The worker crashes, and starts again under its id. */
    private static void crash(CaseBench bench, Run run) {
        Machine machine = bench.machineOf(run);
        String id = machine.life().orElseThrow().id();
        bench.record.add("trouble: worker %s crashes", id);
        bench.workers.crash(machine);
        machine.listDownIfEnded();
        CaseBench.sleep(DOWN_MILLIS);
        bench.workers.restart(machine, id);
    }
}
