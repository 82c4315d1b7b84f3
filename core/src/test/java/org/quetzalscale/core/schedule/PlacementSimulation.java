package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerReport;

/** A pool in virtual time that serves drawn jobs of two sizes, to compare placement rules. */
final class PlacementSimulation implements OrderSender {
    private static final int WORKERS = 20;
    private static final int PLAN_MILLIS = 20;
    private static final int REPORT_MILLIS = 200;
    private static final double CORES = WORKERS * 24.0;
    private static final int LARGE_TASKS = 8;

    /**
     * A load.
     *
     * @param largeShare part of the jobs that are large
     * @param load mean work that arrives per second, as part of the pool's capacity
     * @param runFactor run time of a task as part of its estimate
     * @param slow whether a third of the workers becomes slower by half in the middle
     * @param drain whether a quarter of the workers drains in the middle
     */
    record Scenario(
            String name,
            double largeShare,
            double load,
            double runFactor,
            boolean slow,
            boolean drain,
            int seconds) {}

    /** Times of the jobs of one size in milliseconds, beyond the critical path. */
    record Delays(int jobs, double mean, double p95, double onTime) {
        static Delays of(List<Served> served) {
            List<Double> sorted = served.stream().map(Served::delay).sorted().toList();
            double sum = sorted.stream().mapToDouble(Double::doubleValue).sum();
            int count = Math.max(1, sorted.size());
            double p95 = sorted.isEmpty() ? 0 : sorted.get((int) (sorted.size() * 0.95));
            double onTime = served.stream().filter(Served::onTime).count();
            return new Delays(sorted.size(), sum / count, p95, onTime / count);
        }
    }

    record Served(boolean large, double delay, boolean onTime) {}

    record Figures(List<Served> served, double utilisation, int backfilled) {
        Delays large() {
            return Delays.of(served.stream().filter(Served::large).toList());
        }

        Delays all() {
            return Delays.of(served);
        }

        Delays small() {
            return Delays.of(served.stream().filter(job -> !job.large()).toList());
        }
    }

    private record Run(WorkerId worker, StartOrder order, long startMillis, long endMillis) {}

    private record Arrival(long atMillis, JobDefinition job) {}

    private final Scenario scenario;
    private final Random random;
    private final FleetScheduler scheduler;
    private final Map<JobId, Arrival> jobs = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<WorkerId, Map<TaskRef, Run>> running = new HashMap<>();
    private final PriorityQueue<Run> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.endMillis(), b.endMillis()));
    private final List<Served> served = new ArrayList<>();
    private long now;
    private double usedCoreMillis;
    private int backfilled;

    PlacementSimulation(Scenario scenario, LookAhead lookAhead, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.scheduler = new FleetScheduler(Samples.policy(0), this, 0, lookAhead);
        for (int worker = 1; worker <= WORKERS; worker++) {
            scheduler.registerWorker(Samples.withCores(worker, worker % 2 == 0 ? 32 : 16), 0);
            running.put(Samples.workerId(worker), new HashMap<>());
        }
        scheduler.setReservationListener(new BackfillCounter());
        drawArrivals();
    }

    /** Serves all jobs; utilisation is that of the time in which they arrive. */
    Figures run() {
        int next = 0;
        while (next < arrivals.size() || !ends.isEmpty() || served.size() < arrivals.size()) {
            while (next < arrivals.size() && arrivals.get(next).atMillis() <= now) {
                scheduler.addJob(arrivals.get(next++).job(), Optional.empty(), now, now);
            }
            changeWorkers();
            endRuns();
            if (now % REPORT_MILLIS == 0) {
                running.keySet().forEach(worker -> report(worker, List.of()));
            }
            scheduler.plan(now, 0);
            scheduler.takeChangedJobs().forEach(this::recordEnd);
            now += PLAN_MILLIS;
        }
        return new Figures(served, usedCoreMillis / (CORES * endMillis()), backfilled);
    }

    @Override
    public void start(WorkerId worker, StartOrder order) {
        StepDefinition step = jobs.get(order.task().job()).job().steps().get(order.task().step());
        boolean slow = scenario.slow() && inSecondHalf() && number(worker) % 3 == 0;
        Random ofTask = new Random(order.task().hashCode());
        double factor = scenario.runFactor() * (0.8 + 0.4 * ofTask.nextDouble());
        long millis = Math.round(step.estimateMillis() * factor * (slow ? 1.5 : 1));
        Run run = new Run(worker, order, now, now + millis);
        running.get(worker).put(order.task(), run);
        ends.add(run);
        long counted = Math.min(now + millis, endMillis()) - Math.min(now, endMillis());
        usedCoreMillis += step.need().cores() * counted;
        scheduler.startAnswered(worker, order.task(), order.run(), OrderAnswer.ACCEPTED, now);
    }

    @Override
    public void stop(WorkerId worker, TaskRef task, long run) {
        throw new IllegalStateException("nothing stops a run here");
    }

    @Override
    public void pace(WorkerId worker, TaskRef task, long run, int percent) {}

    private long endMillis() {
        return scenario.seconds() * 1_000L;
    }

    private boolean inSecondHalf() {
        return now >= endMillis() / 2;
    }

    private static int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(2));
    }

    private void changeWorkers() {
        boolean draining = scenario.drain() && inSecondHalf() && now < endMillis() * 3 / 4;
        for (WorkerState worker : scheduler.fleet().workers.values()) {
            worker.cordoned = draining && number(worker.entry.id()) % 4 == 0;
        }
    }

    private void endRuns() {
        while (!ends.isEmpty() && ends.peek().endMillis() <= now) {
            Run run = ends.poll();
            TaskRef task = run.order().task();
            running.get(run.worker()).remove(task);
            long number = now * 1_000 + served.size();
            report(
                    run.worker(),
                    List.of(new FinishedRun(number, task, run.order().run(), RunEnd.DONE, "")));
        }
    }

    private void report(WorkerId worker, List<FinishedRun> ended) {
        List<RunningTask> tasks = new ArrayList<>();
        for (Run run : running.get(worker).values()) {
            double part =
                    (now - run.startMillis()) / (double) (run.endMillis() - run.startMillis());
            int percent = (int) Math.min(99, 100 * part);
            tasks.add(new RunningTask(run.order().task(), run.order().run(), "", percent, 0));
        }
        scheduler.handleReport(worker, new WorkerReport(now, 1, tasks, ended), ended, now, now);
    }

    private void recordEnd(JobProgress progress) {
        if (progress.phase() != JobPhase.COMPLETED) {
            return;
        }
        Arrival arrival = jobs.get(progress.job());
        List<StepDefinition> steps = arrival.job().steps();
        double path = steps.stream().mapToDouble(StepDefinition::estimateMillis).sum();
        path *= scenario.runFactor();
        double delay = now - arrival.atMillis() - path;
        QueuePolicy queue = scheduler.policy().queues().get(arrival.job().queue());
        boolean onTime = delay <= (queue.stretch() - 1) * path + queue.targetMillis();
        served.add(new Served(steps.get(0).count() == LARGE_TASKS, delay, onTime));
    }

    private void drawArrivals() {
        double at = 0;
        while (at < endMillis()) {
            JobDefinition job = drawJob(arrivals.size() + 1);
            double work =
                    job.steps().stream().mapToDouble(StepDefinition::estimatedCoreSeconds).sum();
            Arrival arrival = new Arrival(Math.round(at), job);
            arrivals.add(arrival);
            jobs.put(job.id(), arrival);
            double mean = 1_000 * work * scenario.runFactor() / (CORES * scenario.load());
            at += mean * 2 * random.nextDouble();
        }
    }

    private JobDefinition drawJob(int number) {
        if (random.nextDouble() >= scenario.largeShare()) {
            return Samples.job(number, step(4, 1.5 + random.nextDouble(), 500 + drawn(500)));
        }
        double cores = 6 + random.nextDouble();
        return Samples.job(
                number,
                step(LARGE_TASKS, cores, 800 + drawn(1_200)),
                step(LARGE_TASKS, cores, 800 + drawn(1_200), 0));
    }

    private int drawn(int bound) {
        return random.nextInt(bound);
    }

    private static StepDefinition step(int count, double cores, long millis, Integer... after) {
        return new StepDefinition(
                count,
                new Resources(cores, 100, 0, 0),
                millis,
                List.of(after),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                0,
                false,
                0);
    }

    private final class BackfillCounter implements ReservationListener {
        @Override
        public void reserved(JobId job, int step, int tasks, long startsInMillis) {}

        @Override
        public void used(JobId job, int step) {}

        @Override
        public void givenUp(JobId job, int step, Cause cause) {}

        @Override
        public void backfilled() {
            backfilled++;
        }
    }
}
