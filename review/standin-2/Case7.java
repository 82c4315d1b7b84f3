import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A large job comes beside small ones. The progress of a job is one row of the store, and a row
 * holds 65,536 bytes at most.
 */
final class Case7 {
    private static final int WORKERS = 8;
    private static final int LARGE_TASKS = 3_000;
    private static final int SMALL_TASKS = 8;
    private static final int SMALL_INTERVAL_MILLIS = 40;
    private static final int TRAFFIC_SECONDS = 45;
    private static final int FINISH_SECONDS = 14;
    private static final int IDLE_SECONDS = 3;

    public static void main(String[] arguments) throws Exception {
        Bench.quiet = true;
        Bench bench = new Bench(arguments);
        bench.configure(
                List.of(new Bench.Queue("quick", "lab", 4), new Bench.Queue("model", "lab", 4)),
                List.of("lab"),
                0);
        for (int i = 0; i < WORKERS; i++) {
            bench.addWorker(i, "lab", "a", 64_000);
        }
        bench.startNodes(3);
        Thread.sleep(2_000);
        List<String> small = new ArrayList<>();
        double from = bench.record.seconds();
        String large = bench.newJobId();
        boolean sent = false;
        while (bench.record.seconds() - from < TRAFFIC_SECONDS) {
            if (bench.trouble && !sent && bench.record.seconds() - from > 3) {
                sent = true;
                Map<String, Object> step = Bench.step(LARGE_TASKS, 50, 16, 30_000);
                step.put("checkpointing", true);
                int status =
                        bench.submit("model", large, "ms=30000 spread=50 save=1000", List.of(step));
                bench.record.add(
                        "POST model/%s, %d tasks of 50 cpu: %d", large, LARGE_TASKS, status);
                if (status != 200) {
                    bench.finish(2, "the large job was answered with %d", status);
                }
            }
            String id = bench.newJobId();
            Http.daemon("submit", () -> submitSmall(bench, id, small));
            Thread.sleep(SMALL_INTERVAL_MILLIS);
        }
        bench.record.add("the traffic ends, %d small jobs were accepted", small.size());
        Thread.sleep((FINISH_SECONDS - IDLE_SECONDS) * 1_000L);
        judge(bench, List.copyOf(small));
    }

    private static void submitSmall(Bench bench, String id, List<String> accepted) {
        try {
            if (bench.submit("quick", id, "ms=200", List.of(Bench.step(SMALL_TASKS, 500, 64, 200)))
                    == 200) {
                synchronized (accepted) {
                    accepted.add(id);
                }
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void judge(Bench bench, List<String> jobs) throws Exception {
        Set<String> idle = withoutRun(bench, jobs);
        double used = 0;
        for (int i = 0; i < IDLE_SECONDS * 5; i++) {
            Thread.sleep(200);
            idle.retainAll(withoutRun(bench, jobs));
            used = Math.max(used, usedPart(bench));
        }
        int unended = 0;
        int shown = 0;
        Map<String, Integer> states = new HashMap<>();
        for (String job : jobs) {
            String state = bench.state("quick", job);
            states.merge(state, 1, Integer::sum);
            boolean done = tasksDone(bench.runsOf(job)) == SMALL_TASKS;
            unended += done && !state.equals("completed") ? 1 : 0;
            shown += state.equals("completed") ? 1 : 0;
        }
        long listed = bench.runsNow().stream().filter(run -> run.how.equals("done")).count();
        long noted = bench.runsNow().stream().filter(run -> run.acknowledged).count();
        bench.record.add("states of the small jobs: %s", states);
        bench.record.add("ends that workers listed: %d, acknowledged: %d", listed, noted);
        bench.record.add(
                "jobs with all tasks done that are not shown as completed: %d of %d",
                unended, jobs.size());
        bench.record.add(
                "jobs with unfinished tasks and nothing running for %d s: %d; at most %.0f%% of the"
                        + " room was in use",
                IDLE_SECONDS, idle.size(), 100 * used);
        bench.record.add("calls that the store refused as invalid: %d", bench.store.refused());
        bench.addLogs(5, "record_failed");
        if (!idle.isEmpty() && used < 0.5) {
            bench.finish(
                    1,
                    "%d accepted jobs have nothing running for %d s with %.0f%% of the room in use;"
                            + " %d of %d ends were taken note of, %d of %d jobs are shown as completed",
                    idle.size(), IDLE_SECONDS, 100 * used, noted, listed, shown, jobs.size());
        }
        if (noted < listed * 0.8) {
            bench.finish(1, "%d of %d ends were taken note of", noted, listed);
        }
        bench.finish(
                shown == jobs.size() ? 0 : 2,
                "%d of %d jobs are shown as completed, %d of %d ends were taken note of",
                shown, jobs.size(), noted, listed);
    }

    private static int tasksDone(List<Worker.Run> runs) {
        Set<String> done = new HashSet<>();
        runs.stream().filter(run -> run.how.equals("done")).forEach(run -> done.add(run.task));
        return done.size();
    }

    /** The jobs that have unfinished tasks of which none runs. */
    private static Set<String> withoutRun(Bench bench, List<String> jobs) {
        Map<String, List<Worker.Run>> byJob = new HashMap<>();
        for (Worker.Run run : bench.runsNow()) {
            String job = run.task.substring(0, run.task.indexOf('.'));
            byJob.computeIfAbsent(job, id -> new ArrayList<>()).add(run);
        }
        Set<String> found = new HashSet<>();
        for (String job : jobs) {
            List<Worker.Run> runs = byJob.getOrDefault(job, List.of());
            boolean running = runs.stream().anyMatch(run -> run.how.isEmpty());
            if (!running && tasksDone(runs) < SMALL_TASKS) {
                found.add(job);
            }
        }
        return found;
    }

    private static double usedPart(Bench bench) {
        double used = 0;
        double all = 0;
        for (Worker worker : bench.cloud.workers()) {
            used += worker.cpuInUse();
            all += worker.cpu();
        }
        return used / all;
    }
}
