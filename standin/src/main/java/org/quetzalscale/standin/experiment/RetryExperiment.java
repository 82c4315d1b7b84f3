package org.quetzalscale.standin.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.queue.AttemptOutcome;
import org.quetzalscale.core.retry.RetryBudget;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.route.WorkerSlot;

/** Measures retries and ejection, as core has them, when some workers fail all they start. */
public final class RetryExperiment {
    private static final int INSTANCES = 8;
    private static final int WORKERS = 8;
    private static final int SLOTS = 8;
    private static final long SERVICE_MICROS = 100_000;
    private static final long FAILURE_MICROS = 2_000;
    private static final long RUN_MICROS = 120_000_000L;
    private static final double LOAD = 0.5;
    private static final int MAX_ATTEMPTS = 3;

    private final VirtualClock clock = new VirtualClock();
    private final Random random = new Random(11);
    private final List<WorkerChooser> choosers = new ArrayList<>();
    private final List<RetryBudget> budgets = new ArrayList<>();
    private final Histogram latency = new Histogram(60_000_000L, 3);
    private final Policy policy;
    private final int failing;
    private long requests;
    private long attempts;
    private long failed;
    private long withoutSlot;

    private RetryExperiment(Policy policy, int failing) {
        this.policy = policy;
        this.failing = failing;
        ModelConfig config = new ModelConfig(WORKERS, SLOTS);
        for (int i = 0; i < INSTANCES; i++) {
            choosers.add(new WorkerChooser(config, worker -> false, random, clock::nowMillis));
            budgets.add(new RetryBudget(clock::nowMillis));
        }
        report();
    }

    /** Prints one table for each count of failing workers. */
    public static void run(PrintStream out) {
        for (int failing : new int[] {0, 1, 2, 4, 8}) {
            out.printf("%d of %d workers fail all they start%n", failing, WORKERS);
            out.printf(
                    "%-26s %9s %9s %9s %9s %9s%n",
                    "policy", "failed", "no slot", "attempts", "p50 ms", "p99 ms");
            for (Policy policy : Policy.values()) {
                RetryExperiment experiment = new RetryExperiment(policy, failing);
                experiment.arriveNext();
                experiment.clock.runUntil(RUN_MICROS);
                out.println(experiment.row());
            }
        }
    }

    private String row() {
        return String.format(
                "%-26s %8.3f%% %8.3f%% %9.3f %9.1f %9.1f",
                policy.title,
                100.0 * failed / requests,
                100.0 * withoutSlot / requests,
                (double) attempts / requests,
                latency.getValueAtPercentile(50) / 1_000.0,
                latency.getValueAtPercentile(99) / 1_000.0);
    }

    private void report() {
        for (int i = 0; i < INSTANCES; i++) {
            for (int other = 0; other < INSTANCES; other++) {
                if (other != i) {
                    choosers.get(i)
                            .updateSiblingLoad(
                                    new InstanceId("i-" + other),
                                    choosers.get(other).inFlight(),
                                    Map.of());
                }
            }
        }
        clock.after(SlotModel.REPORT_MICROS, this::report);
    }

    private void arriveNext() {
        double rate = LOAD * WORKERS * SLOTS / SERVICE_MICROS;
        clock.after((long) Math.max(1, exponential(1 / rate)), this::arrive);
    }

    private void arrive() {
        requests++;
        int instance = random.nextInt(INSTANCES);
        budgets.get(instance).countRequest(ModelConfig.POOL);
        attempt(instance, clock.nowMicros(), Set.of());
        arriveNext();
    }

    private void attempt(int instance, long arrivedMicros, Set<WorkerId> tried) {
        WorkerSlot place = choosers.get(instance).choose(ModelConfig.POOL, tried).orElse(null);
        if (place == null) {
            withoutSlot++;
            return;
        }
        attempts++;
        boolean fails = Integer.parseInt(place.worker().value().substring(1)) < failing;
        long service = fails ? FAILURE_MICROS : (long) Math.max(1, exponential(SERVICE_MICROS));
        clock.after(
                service + 2 * SlotModel.HOP_MICROS,
                () -> ended(instance, arrivedMicros, tried, place.worker(), fails));
    }

    private void ended(
            int instance, long arrivedMicros, Set<WorkerId> tried, WorkerId worker, boolean fails) {
        AttemptOutcome outcome = fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
        choosers.get(instance).release(worker, policy.ejects ? outcome : AttemptOutcome.ABANDONED);
        if (!fails) {
            latency.recordValue(clock.nowMicros() - arrivedMicros);
            return;
        }
        if (policy.retries
                && tried.size() + 1 < MAX_ATTEMPTS
                && (!policy.hasBudget || budgets.get(instance).tryRetry(ModelConfig.POOL))) {
            Set<WorkerId> all = new HashSet<>(tried);
            all.add(worker);
            attempt(instance, arrivedMicros, all);
            return;
        }
        failed++;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Which of the two mechanisms a run has. */
    private enum Policy {
        NOTHING("nothing", false, false, false),
        RETRIES_UNBOUNDED("retries without budget", true, false, false),
        RETRIES("retries", true, true, false),
        EJECTION("ejection", false, false, true),
        BOTH("retries and ejection", true, true, true);

        private final String title;
        private final boolean retries;
        private final boolean hasBudget;
        private final boolean ejects;

        Policy(String title, boolean retries, boolean hasBudget, boolean ejects) {
            this.title = title;
            this.retries = retries;
            this.hasBudget = hasBudget;
            this.ejects = ejects;
        }
    }
}
