import java.util.List;
import java.util.Map;

/**
 * A worker goes down and up by turns. A task that only this worker may run has no end {@code
 * failed}, and its job must not be shown as failed.
 */
final class Case8 {
    private static final int WORKERS = 8;
    private static final int DOWN_MILLIS = 1_400;
    private static final int UP_MILLIS = 1_400;
    private static final int FLAPS = 3;
    private static final int TASK_MILLIS = 5_000;

    public static void main(String[] arguments) throws Exception {
        Bench bench = new Bench(arguments);
        bench.configure(List.of(new Bench.Queue("model", "lab", 4)), List.of("lab"), 0);
        Worker flapping = null;
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = bench.addWorker(i, "lab", i == 0 ? "b" : "a", 64_000);
            flapping = i == 0 ? worker : flapping;
        }
        bench.startNodes(3);
        Thread.sleep(2_000);
        Map<String, Object> step = Bench.step(1, 4_000, 2_048, TASK_MILLIS);
        step.put("requires", "b");
        String job = bench.newJobId();
        int accepted = bench.submit("model", job, "ms=" + TASK_MILLIS, List.of(step));
        Worker only = flapping;
        if (accepted != 200 || !Bench.await(3_000, () -> !bench.runsOf(job).isEmpty())) {
            bench.finish(2, "the job was answered with %d and has not begun", accepted);
        }
        Thread.sleep(700);
        for (int flap = 0; flap < FLAPS && bench.trouble; flap++) {
            bench.cloud.crash(only);
            Thread.sleep(DOWN_MILLIS);
            bench.cloud.begin(only, only.id());
            Thread.sleep(UP_MILLIS);
        }
        String state = "";
        for (int second = 0; second < 30; second++) {
            state = bench.state("model", job);
            bench.record.add("GET model/%s: %s", job, state);
            if (state.equals("completed") || state.equals("failed")) {
                break;
            }
            Thread.sleep(1_000);
        }
        bench.addLogs(30, job, "crash", "given_up");
        List<Worker.Run> runs = bench.runsOf(job);
        long failed = runs.stream().filter(run -> run.how.equals("failed")).count();
        if (state.equals("failed") && failed < 4) {
            bench.finish(
                    1,
                    "the job is shown as failed after %d runs, %d of which ended failed",
                    runs.size(),
                    failed);
        }
        boolean done = state.equals("completed");
        bench.finish(done ? 0 : 2, "the job is shown as %s after %d runs", state, runs.size());
    }
}
