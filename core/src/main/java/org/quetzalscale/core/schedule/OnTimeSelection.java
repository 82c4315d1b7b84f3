package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the jobs of a pool that are served on time when there is more work than the pool can
 * serve on time. Least slack first would then make one job after the other late.
 *
 * <p>The method is that of Moore and Hodgson: jobs are added by their deadlines, and whenever the
 * work exceeds what the pool completes until a deadline, the job with the most work is left out.
 * The jobs that are left out get what the others leave. Priorities of queues come first: a job is
 * never left out for one of a less urgent queue.
 */
final class OnTimeSelection {
    /**
     * Factor of the work of a job that is left out. It is taken back only when it fits with this
     * margin, so that estimates that change a little do not alternate the choice.
     */
    private static final double RETURN_MARGIN = 1.25;

    /** Part of the pool's processors that can be in use, because tasks do not fill workers. */
    private static final double USABLE_PART = 0.95;

    /**
     * Part of the free capacity that goes to protected jobs. Without the limit, a few large jobs
     * make all small ones late.
     */
    private static final double PROTECTED_PART = 0.5;

    private final RunForecast forecast;
    private final LargestTenth largestTenth = new LargestTenth();
    private final Set<JobRun> leftOut = new HashSet<>();

    OnTimeSelection(RunForecast forecast) {
        this.forecast = forecast;
    }

    /**
     * Waiting work of a job.
     *
     * @param work processor time in core milliseconds
     * @param dueMillis time in which it has to be served; its slack, because work that begins later
     *     is late
     */
    private record Demand(JobRun job, double work, double dueMillis) {}

    /** Gives the steps of jobs that are left out the rank {@link StepRanking.Rank#DEFERRED}. */
    void apply(
            List<StepRanking.Candidate> candidates, Iterable<WorkerState> workers, long nowMillis) {
        Map<Integer, Map<JobRun, Demand>> byPriority = new TreeMap<>();
        for (StepRanking.Candidate candidate : candidates) {
            addDemand(byPriority, candidate);
        }
        largestTenth.update();
        Set<JobRun> before = new HashSet<>(leftOut);
        leftOut.clear();
        if (byPriority.isEmpty()) {
            return;
        }
        Capacity capacity = new Capacity(workers, nowMillis);
        for (Map<JobRun, Demand> demands : byPriority.values()) {
            select(new ArrayList<>(demands.values()), capacity, before);
        }
        candidates.replaceAll(this::ranked);
    }

    private void addDemand(
            Map<Integer, Map<JobRun, Demand>> byPriority, StepRanking.Candidate candidate) {
        JobRun job = candidate.step().job;
        if (candidate.rank() == StepRanking.Rank.LATE) {
            largestTenth.recordLate(job);
        }
        if (candidate.rank() != StepRanking.Rank.ON_TIME) {
            return;
        }
        byPriority
                .computeIfAbsent(candidate.priority(), key -> new LinkedHashMap<>())
                .computeIfAbsent(job, key -> demand(candidate));
    }

    private Demand demand(StepRanking.Candidate candidate) {
        StepRun first = candidate.step();
        double work = 0;
        for (StepRun step : first.job.steps(first.occurrence)) {
            if (!step.isDone() && !step.definition.lasting()) {
                double cores = waitingTasks(step) * step.definition.need().cores();
                work += cores * forecast.runMillis(step);
            }
        }
        largestTenth.recordArrival(first.job);
        return new Demand(first.job, work, candidate.slackMillis());
    }

    private static int waitingTasks(StepRun step) {
        int waiting = 0;
        for (TrackedTask task : step.tasks) {
            waiting += task.state == TrackedTask.State.WAITING ? 1 : 0;
        }
        return waiting;
    }

    private void select(List<Demand> demands, Capacity capacity, Set<JobRun> before) {
        demands.sort(Comparator.comparingDouble(Demand::dueMillis));
        Set<Demand> protectedDemands = new HashSet<>();
        PriorityQueue<Demand> kept =
                new PriorityQueue<>(
                        Comparator.comparing((Demand demand) -> protectedDemands.contains(demand))
                                .thenComparing(demand -> -margined(demand, before)));
        double work = capacity.promised;
        double protectedWork = 0;
        for (Demand demand : demands) {
            double needed = protectedWork + margined(demand, before);
            if (largestTenth.isProtected(demand.job())
                    && needed <= PROTECTED_PART * capacity.freeBy(demand.dueMillis())) {
                protectedDemands.add(demand);
                protectedWork = needed;
            }
            kept.add(demand);
            work += margined(demand, before);
            while (!kept.isEmpty() && work > capacity.freeBy(demand.dueMillis())) {
                Demand most = kept.poll();
                work -= margined(most, before);
                leftOut.add(most.job());
            }
        }
        capacity.promised = work;
    }

    private static double margined(Demand demand, Set<JobRun> before) {
        return before.contains(demand.job()) ? RETURN_MARGIN * demand.work() : demand.work();
    }

    private StepRanking.Candidate ranked(StepRanking.Candidate candidate) {
        boolean deferred =
                candidate.rank() == StepRanking.Rank.ON_TIME
                        && leftOut.contains(candidate.step().job);
        return deferred ? candidate.withRank(StepRanking.Rank.DEFERRED) : candidate;
    }

    /** What a pool can do besides its running tasks. */
    private final class Capacity {
        private static final int INTERVALS = 64;
        private static final double INTERVAL_MILLIS = 100;

        /** Processors of the running tasks that end in each interval from now. */
        private final double[] endingCores = new double[INTERVALS];

        /** Core milliseconds that are free until the end of each interval. */
        private final double[] free = new double[INTERVALS];

        private double cores;
        private double endlessCores;

        /** Core milliseconds of jobs that were selected before. */
        private double promised;

        private Capacity(Iterable<WorkerState> workers, long nowMillis) {
            for (WorkerState worker : workers) {
                if (WorkerUse.acceptsNewTasks(worker, nowMillis)) {
                    cores += USABLE_PART * worker.entry.capacity().cores();
                    worker.tasks.values().forEach(task -> addRunning(task, nowMillis));
                }
            }
            double idle = cores - endlessCores;
            for (double ending : endingCores) {
                idle -= ending;
            }
            double sum = 0;
            for (int interval = 0; interval < INTERVALS; interval++) {
                sum += INTERVAL_MILLIS * idle;
                idle += endingCores[interval];
                free[interval] = sum;
            }
        }

        private void addRunning(TrackedTask task, long nowMillis) {
            double used = task.step.definition.reserved().cores();
            double intervals = (forecast.endMillis(task, nowMillis) - nowMillis) / INTERVAL_MILLIS;
            if (intervals < INTERVALS) {
                endingCores[(int) intervals] += used;
            } else {
                endlessCores += used;
            }
        }

        private double freeBy(double millis) {
            double intervals = millis / INTERVAL_MILLIS;
            if (intervals < INTERVALS) {
                return free[(int) intervals];
            }
            double later = millis - INTERVALS * INTERVAL_MILLIS;
            return free[INTERVALS - 1] + later * (cores - endlessCores);
        }
    }
}
