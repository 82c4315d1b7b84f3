package org.quetzalscale.core.schedule;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.WorkerReport;

/**
 * Prints the processor time of a plan with 250 workers and 2,000 waiting tasks. Run {@code java -cp
 * core/target/classes:core/target/test-classes org.quetzalscale.core.schedule.PlanBenchmark}.
 */
final class PlanBenchmark {
    private static final int WORKERS = 250;
    private static final int STEPS = 250;
    private static final int TASKS = 8;
    private static final int WARM_UPS = 300;
    private static final int PLANS = 300;
    private static final double NANOS_PER_MILLI = 1e6;

    private final RecordedOrders orders = new RecordedOrders();
    private final FleetScheduler scheduler = new FleetScheduler(Samples.policy(0), orders, 0);
    private final Random random = new Random(1);
    private int jobs;

    private PlanBenchmark() {
        for (int worker = 1; worker <= WORKERS; worker++) {
            scheduler.registerWorker(Samples.withCores(worker, 16 + 16 * (worker % 2)), 0);
            WorkerReport report = new WorkerReport(0, 1, List.of(), List.of());
            scheduler.handleReport(Samples.workerId(worker), report, List.of(), 0, 0);
        }
    }

    private void addSteps(int steps) {
        for (int step = 0; step < steps; step++) {
            double cores = 1.5 + 5.5 * random.nextDouble();
            scheduler.addJob(
                    Samples.job(++jobs, Samples.step(TASKS, cores)), Optional.empty(), 0, 0);
        }
    }

    private double planMillis() {
        long start = System.nanoTime();
        scheduler.plan(0, 0);
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    private void acceptStarts() {
        for (RecordedOrders.Start start : orders.starts) {
            scheduler.startAnswered(
                    start.worker(),
                    start.order().task(),
                    start.order().run(),
                    OrderAnswer.ACCEPTED,
                    0);
        }
        orders.starts.clear();
    }

    private static double burst() {
        PlanBenchmark benchmark = new PlanBenchmark();
        benchmark.addSteps(STEPS);
        return benchmark.planMillis();
    }

    /** Mean time of plans that start nothing: all workers are full. */
    private static double full() {
        PlanBenchmark benchmark = new PlanBenchmark();
        benchmark.addSteps(STEPS);
        benchmark.planMillis();
        benchmark.acceptStarts();
        benchmark.addSteps(STEPS);
        benchmark.planMillis();
        benchmark.acceptStarts();
        double sum = 0;
        for (int plan = 0; plan < WARM_UPS + PLANS; plan++) {
            double millis = benchmark.planMillis();
            sum += plan < WARM_UPS ? 0 : millis;
        }
        return sum / PLANS;
    }

    /** Prints the figures. */
    public static void main(String[] arguments) {
        double burst = 0;
        for (int plan = 0; plan < WARM_UPS + PLANS; plan++) {
            double millis = burst();
            burst += plan < WARM_UPS ? 0 : millis / PLANS;
        }
        System.out.printf(
                Locale.ROOT,
                "all workers idle: %.2f ms, all workers full: %.2f ms%n",
                burst,
                full());
    }
}
