import java.util.List;

/**
 * The operator removes a queue while a job of it runs. The job was accepted with four attempts a
 * task, and its task is done by the fourth run.
 */
final class Case9 {
    private static final int WORKERS = 8;
    private static final int ATTEMPTS = 4;
    private static final int RUN_MILLIS = 1_500;

    public static void main(String[] arguments) throws Exception {
        Bench bench = new Bench(arguments);
        Bench.Queue model = new Bench.Queue("model", "lab", ATTEMPTS);
        Bench.Queue other = new Bench.Queue("quick", "lab", ATTEMPTS);
        bench.configure(List.of(model, other), List.of("lab"), 0);
        for (int i = 0; i < WORKERS; i++) {
            bench.addWorker(i, "lab", "a", 64_000);
        }
        bench.startNodes(3);
        Thread.sleep(2_000);
        String job = bench.newJobId();
        String spec = "ms=" + RUN_MILLIS + " fail=" + (ATTEMPTS - 1);
        int accepted =
                bench.submit("model", job, spec, List.of(Bench.step(1, 4_000, 2_048, RUN_MILLIS)));
        if (accepted != 200 || !Bench.await(3_000, () -> !bench.runsOf(job).isEmpty())) {
            bench.finish(2, "the job was answered with %d and has not begun", accepted);
        }
        if (bench.trouble) {
            bench.configure(List.of(other), List.of("lab"), 0);
        }
        // The state of a job can be asked for by the path of a queue that is still there.
        String state = "";
        for (int second = 0; second < 25; second++) {
            state = bench.state("quick", job);
            bench.record.add("GET quick/%s: %s", job, state);
            if (state.equals("completed") || state.equals("failed")) {
                break;
            }
            Thread.sleep(1_000);
        }
        bench.addLogs(30, job, "event=policy");
        long failed = bench.runsOf(job).stream().filter(run -> run.how.equals("failed")).count();
        if (state.equals("failed") && failed < ATTEMPTS) {
            bench.finish(
                    1,
                    "the job is shown as failed after %d runs that ended failed; its queue permits"
                            + " %d",
                    failed,
                    ATTEMPTS);
        }
        boolean done = state.equals("completed");
        bench.finish(done ? 0 : 2, "the job is shown as %s, %d runs failed", state, failed);
    }
}
