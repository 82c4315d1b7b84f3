package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/**
 * A start that got no answer is carried out late, by the next life of its worker, while the task
 * runs elsewhere.
 */
final class Case11 {
    private static final String PATH = "/quick/11aa00000000000a";
    private static final String TASK = "11aa00000000000a.0.0.0";
    private static final String OTHER = "11bb00000000000a";
    private static final String OTHER_PATH = "/quick/" + OTHER;
    private static final int DOWN_MILLIS = 1_000;

    private Case11() {}

    public static void main(String[] args) {
        CaseBench.run(args, Case11::play);
    }

    /** Stands before the workers, and keeps the first start for the next life of its worker. */
    private static final class LateStart {
        private final CaseBench bench;
        private Machine machine;
        private String caller;
        private HttpCall start;
        private boolean armed;

        LateStart(CaseBench bench) {
            this.bench = bench;
        }

        synchronized CompletionStage<HttpReply> handle(Machine called, String from, HttpCall call) {
            if (!armed || !call.path().equals("/v1/run-start")) {
                return called.handle(from, call);
            }
            armed = false;
            machine = called;
            caller = from;
            start = call;
            bench.record.add("trouble: a start for %s gets no answer", called.name());
            return CompletableFuture.completedFuture(WireServer.SILENCE);
        }

        synchronized void arm() {
            armed = true;
        }

        synchronized Machine machine() {
            return machine;
        }

        /** The worker starts again, and carries the start out. */
        synchronized void restart(String id) {
            bench.workers.restart(machine, id);
            WorkerLife life = machine.life().orElseThrow();
            life.carryOut(Order.of(caller, start, true));
        }
    }

    private static boolean play(CaseBench bench, boolean trouble) throws java.io.IOException {
        bench.startWorkers(27, DeploymentConfig.pools());
        LateStart late = new LateStart(bench);
        for (Machine machine : bench.workers.machines()) {
            bench.putBefore(machine, (caller, call) -> late.handle(machine, caller, call));
        }
        bench.startNodes(3, config -> {});
        // Another task is on the worker that would be chosen first, and ends before the crash.
        bench.submit(OTHER_PATH, CaseBench.body(1, 20_000, 2_500, ""));
        bench.awaitValue("the other task runs", 10, () -> bench.running(r -> r.job().equals(OTHER)));
        if (trouble) {
            late.arm();
        }
        bench.submit(PATH, CaseBench.body(1, 2_000, 10_000, ""));
        bench.awaitValue("the task runs", 10, () -> bench.running(r -> r.task().equals(TASK)));
        bench.await(
                "the other task has ended",
                15,
                () -> bench.running(r -> r.job().equals(OTHER)).isEmpty());
        CaseBench.sleep(1_500);
        if (trouble) {
            String id = late.machine().life().orElseThrow().id();
            bench.record.add("trouble: worker %s crashes", id);
            bench.workers.crash(late.machine());
            late.machine().listDownIfEnded();
            CaseBench.sleep(DOWN_MILLIS);
            late.restart(id);
        }
        CaseBench.sleep(6_000);
        List<String> overlaps = new ArrayList<>();
        for (Violation found : TwiceCheck.check(bench.runs.runs()).violations()) {
            overlaps.add(found.toString());
            bench.record.add("%s", found);
        }
        return overlaps.isEmpty();
    }
}
