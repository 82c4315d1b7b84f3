package org.quetzalscale.standin.soak;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

/** Jobs whose starts a worker has rejected wait, and the count of the waiting jobs leaves them out. */
final class Case12 {
    private static final String QUEUE = "/plot/";
    private static final List<String> JOBS =
            List.of("12aa00000000000a", "12aa00000000000b", "12aa00000000000c", "12aa00000000000d");
    private static final String URGENT = "/urgent/12bb00000000000a";

    /** The label of the only worker that can run the jobs: its rack. */
    private static final String LABEL = "r2-1";

    private static final int UNHEALTHY_MILLIS = 3_000;

    /** visible_ms and 2 s. */
    private static final double VISIBLE_SECONDS = 5;

    private Case12() {}

    public static void main(String[] args) {
        CaseBench.run(args, Case12::play);
    }

    private static boolean play(CaseBench bench, boolean trouble) throws java.io.IOException {
        bench.startWorkers(27, DeploymentConfig.pools());
        Machine machine = bench.workers.machines().get(1);
        AtomicBoolean unhealthy = new AtomicBoolean();
        bench.putBefore(machine, (caller, call) -> handle(bench, machine, unhealthy, caller, call));
        bench.startNodes(3, config -> bench.addQueue(config, "urgent", "plot", 0));
        if (trouble) {
            bench.record.add("trouble: the worker of %s is unhealthy", machine.name());
            unhealthy.set(true);
        }
        for (String job : JOBS) {
            bench.submit(QUEUE + job, CaseBench.body(1, 4_000, 4_000, LABEL));
        }
        double accepted = bench.record.seconds();
        CaseBench.sleep(1_500);
        bench.submit(URGENT, CaseBench.body(1, 30_000, 25_000, LABEL));
        CaseBench.sleep(UNHEALTHY_MILLIS - 1_500);
        unhealthy.set(false);
        bench.record.add("the worker is healthy");
        // contactMs of calm, and the time until which the jobs have to be counted.
        CaseBench.sleep(4_500);
        boolean held = true;
        for (int i = 0; i < 3; i++) {
            for (NodeProcess node : bench.nodes.all()) {
                held &= isCounted(bench, node, accepted);
            }
            CaseBench.sleep(1_000);
        }
        return held;
    }

    private static CompletionStage<HttpReply> handle(
            CaseBench bench, Machine machine, AtomicBoolean unhealthy, String caller, HttpCall call) {
        if (unhealthy.get() && call.path().equals("/v1/run-start")) {
            bench.record.add(
                    "%s: rejects the start of %s with 503",
                    machine.name(), Json.readTree(call.body()).path("task").asText());
            return CompletableFuture.completedFuture(
                    HttpReply.json(503, machine.life().orElseThrow().answer()));
        }
        return machine.handle(caller, call);
    }

    /** Compares the count that a node gives with the jobs that have not begun. */
    private static boolean isCounted(CaseBench bench, NodeProcess node, double accepted) {
        double asked = bench.record.seconds();
        long waiting =
                JOBS.stream()
                        .filter(
                                job ->
                                        bench.runs.runs().stream()
                                                .noneMatch(run -> run.job().equals(job)))
                        .count();
        Optional<HttpReply> reply = bench.call(HttpMethod.GET, node, QUEUE, "");
        if (reply.isEmpty() || reply.get().status() != 200) {
            throw new CaseBench.CannotRunException("no count");
        }
        int given = Json.readTree(reply.get().body()).path("waiting").asInt();
        bench.record.add(
                "%s gives %d as waiting; %d jobs that were accepted %.1f s ago have not begun",
                node.name(), given, waiting, asked - accepted);
        if (asked - accepted < VISIBLE_SECONDS) {
            throw new CaseBench.CannotRunException("asked too early");
        }
        return given * 2 >= waiting;
    }
}
