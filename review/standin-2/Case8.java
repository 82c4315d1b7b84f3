import java.util.List;
import java.util.Map;

/**
 * The two racks of a service lose their power by turns. A task that has begun only once must not be
 * the cause of a job that is shown as failed.
 */
final class Case8 {
    private static final int WORKERS = 8;
    private static final int RACK_MACHINES = 4;
    private static final int OUTAGES = 5;
    private static final int DARK_MILLIS = 2_500;
    private static final int LONG_MILLIS = 12_000;
    private static final int SMALL_BEFORE_MILLIS = 300;
    private static final int SMALL_JOBS_BEFORE = 3;

    public static void main(String[] arguments) throws Exception {
        Bench.quiet = true;
        Bench bench = new Bench(arguments);
        bench.configure(
                List.of(new Bench.Queue("model", "lab", 4), new Bench.Queue("quick", "lab", 4)),
                List.of("lab"),
                0);
        for (int i = 0; i < WORKERS; i++) {
            bench.addWorker(i, "lab", "a", 64_000);
        }
        bench.startNodes(3);
        Thread.sleep(2_000);
        for (int i = 0; i < SMALL_JOBS_BEFORE; i++) {
            submitSmall(bench);
            Thread.sleep(500);
        }
        String job = bench.newJobId();
        int accepted =
                bench.submit(
                        "model",
                        job,
                        "ms=" + LONG_MILLIS,
                        List.of(Bench.step(1, 4_000, 2_048, LONG_MILLIS)));
        if (accepted != 200 || !Bench.await(3_000, () -> !bench.runsOf(job).isEmpty())) {
            bench.finish(2, "the job was answered with %d and has not begun", accepted);
        }
        submitSmall(bench);
        Thread.sleep(SMALL_BEFORE_MILLIS);
        outages(bench, rackOf(bench, job));
        String state = "";
        for (int second = 0; second < 40; second++) {
            state = bench.state("model", job);
            bench.record.add("GET model/%s: %s", job, state);
            if (state.equals("completed") || state.equals("failed")) {
                break;
            }
            Thread.sleep(1_000);
        }
        List<Worker.Run> runs = bench.runsOf(job);
        for (Worker.Run run : runs) {
            bench.record.add(
                    "run %d on %s from %.3f to %.3f: %s",
                    run.number, run.worker, run.start, run.end, run.how);
        }
        bench.addLogs(40, job);
        long failed = runs.stream().filter(run -> run.how.equals("failed")).count();
        if (state.equals("failed") && failed < 4) {
            bench.finish(
                    1,
                    "the job is shown as failed; its task has begun %d times, %d runs ended failed",
                    runs.size(),
                    failed);
        }
        boolean done = state.equals("completed");
        bench.finish(done ? 0 : 2, "the job is shown as %s after %d runs", state, runs.size());
    }

    /** Darkens one rack after the other, never two at a time, while small jobs come. */
    private static void outages(Bench bench, int first) throws InterruptedException {
        for (int outage = 0; outage < OUTAGES; outage++) {
            int rack = (first + outage) % 2;
            List<Worker> workers =
                    bench.cloud.workers().subList(rack * RACK_MACHINES, (rack + 1) * RACK_MACHINES);
            if (bench.trouble) {
                workers.forEach(bench.cloud::darken);
            }
            Thread.sleep(DARK_MILLIS - SMALL_BEFORE_MILLIS);
            submitSmall(bench);
            Thread.sleep(SMALL_BEFORE_MILLIS);
            if (bench.trouble) {
                workers.forEach(Worker::takeNewAddress);
                workers.forEach(worker -> bench.cloud.begin(worker, bench.cloud.newId()));
            }
        }
    }

    private static int rackOf(Bench bench, String job) {
        List<Worker> workers = bench.cloud.workers();
        for (int i = 0; i < WORKERS; i++) {
            if (workers.get(i).runs(job + ".0.0.0")) {
                return i / RACK_MACHINES;
            }
        }
        return 0;
    }

    /** A small job with one task on each worker. */
    private static void submitSmall(Bench bench) throws InterruptedException {
        Map<String, Object> step = Bench.step(WORKERS, 500, 64, 20);
        step.put("antiAffinity", 1);
        bench.submit("quick", bench.newJobId(), "ms=20", List.of(step));
    }
}
