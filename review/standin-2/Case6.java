import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The owner of the fleet is killed when each worker runs more than 500 small tasks. They end before
 * another node owns the fleet, and workers list 500 ends at a time.
 */
final class Case6 {
    private static final int WORKERS = 8;
    private static final int WORKER_CPU = 64_000;
    private static final int JOBS = 340;
    private static final int JOB_TASKS = 24;
    private static final int TASK_CPU = 80;
    private static final int TASK_MILLIS = 2_500;
    private static final int RUNNING_AT_KILL = 600;
    private static final int RESTART_MILLIS = 3_500;
    private static final int MOST_LINES = 20;

    public static void main(String[] arguments) throws Exception {
        Bench.quiet = true;
        Bench bench = new Bench(arguments);
        bench.configure(List.of(new Bench.Queue("quick", "lab", 4)), List.of("lab"), 0);
        for (int i = 0; i < WORKERS; i++) {
            bench.addWorker(i, "lab", "a", WORKER_CPU);
        }
        bench.startNodes(3);
        Thread.sleep(2_000);
        List<String> accepted = new ArrayList<>();
        ExecutorService senders = Executors.newFixedThreadPool(8);
        for (int i = 0; i < JOBS; i++) {
            String id = bench.newJobId();
            senders.execute(() -> submit(bench, id, accepted));
        }
        senders.shutdown();
        if (bench.trouble) {
            boolean full = Bench.await(10_000, () -> leastRunning(bench) >= RUNNING_AT_KILL);
            boolean ended = Bench.await(10_000, () -> anyEnded(bench));
            bench.record.add("each worker runs %d tasks or more", leastRunning(bench));
            if (!full || !ended) {
                bench.finish(2, "the workers aren't busy");
            }
            bench.kill(bench.owner(), RESTART_MILLIS);
        }
        senders.awaitTermination(30, TimeUnit.SECONDS);
        List<String> jobs = List.copyOf(accepted);
        bench.record.add("%d of %d jobs were accepted", jobs.size(), JOBS);
        int completed = 0;
        for (int second = 0; second < 40 && completed < jobs.size(); second++) {
            Thread.sleep(1_000);
            completed = 0;
            for (String job : jobs) {
                completed += bench.state("quick", job).equals("completed") ? 1 : 0;
            }
        }
        judge(bench, jobs.size(), completed);
    }

    private static void submit(Bench bench, String id, List<String> accepted) {
        try {
            List<Map<String, Object>> steps =
                    List.of(Bench.step(JOB_TASKS, TASK_CPU, 16, TASK_MILLIS));
            if (bench.submit("quick", id, "ms=" + TASK_MILLIS, steps) == 200) {
                synchronized (accepted) {
                    accepted.add(id);
                }
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int leastRunning(Bench bench) {
        return bench.cloud.workers().stream().mapToInt(Worker::runningCount).min().orElse(0);
    }

    private static boolean anyEnded(Bench bench) {
        return bench.runsNow().stream().anyMatch(run -> run.how.equals("done"));
    }

    private static void judge(Bench bench, int jobs, int completed) throws Exception {
        bench.addLogs(20, "event=term_", "event=jobs_loaded", "event=recovered_jobs_released");
        Map<String, List<Worker.Run>> byTask = new HashMap<>();
        for (Worker.Run run : bench.runsNow()) {
            byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run);
        }
        int twice = 0;
        for (List<Worker.Run> runs : byTask.values()) {
            for (Worker.Run done : runs) {
                if (!done.how.equals("done") || !done.acknowledged || done.lapsedBefore) {
                    continue;
                }
                for (Worker.Run later : runs) {
                    if (later == done || later.start <= done.end) {
                        continue;
                    }
                    twice++;
                    if (twice <= MOST_LINES) {
                        bench.record.add(
                                "task %s: run %d was done at %.3f on %s, its end is acknowledged,"
                                        + " and run %d starts at %.3f on %s",
                                done.task, done.number, done.end, done.worker,
                                later.number, later.start, later.worker);
                    }
                }
            }
        }
        bench.finish(
                twice > 0 ? 1 : completed == jobs ? 0 : 2,
                "%d starts after a run of the same task had ended done and was taken note of;"
                        + " %d tasks, %d of %d jobs are shown as completed",
                twice, byTask.size(), completed, jobs);
    }
}
