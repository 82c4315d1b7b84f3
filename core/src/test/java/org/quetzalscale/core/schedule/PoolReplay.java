package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.instance.MoveOrder;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

/**
 * Replays Poisson arrivals on four pools with the real scheduler and balancer, and a manual clock.
 *
 * <p>Pools 0 and 1 get quick jobs, pools 2 and 3 large ones. Each pool also runs 24 lasting tasks.
 */
final class PoolReplay implements OrderSender {
    static final int POOLS = 4;
    static final double WORKER_CORES = 32;
    static final PoolId STANDBY = new PoolId("standby");
    static final long MOVE_MILLIS = 1_500;
    private static final double QUICK_PER_SECOND = 14;
    private static final double LARGE_PER_SECOND = 2.8;
    private static final int INSTANCES = 247;
    private static final int LASTING_TASKS = 24;
    private static final long TICK_MILLIS = 50;
    private static final long BALANCE_MILLIS = 150;
    private static final long UNDO_MILLIS = 5_000;
    private static final Resources CAPACITY = new Resources(WORKER_CORES, 131_072, 0, 0);

    private static final WorkerEntry SAMPLE = Samples.worker(1);

    /** The factor of the mean arrival rate of a pool at a time. */
    interface Shape {
        double factor(int pool, long millis);
    }

    /** An accepted job with the time until which it is on time. */
    record Arrival(long millis, int pool, JobDefinition job, long runMillis, long dueMillis) {
        double coreSeconds() {
            return job.steps().stream()
                    .mapToDouble(step -> step.count() * step.need().cores() * runMillis / 1_000.0)
                    .sum();
        }
    }

    /** Figures of a replay; times in instance-seconds. */
    record Result(double heldSeconds, int moves, int undone, int jobs, int onTime) {
        /** Cost in quick jobs that are late: an instance-second is worth a sixtieth of one. */
        double cost() {
            return jobs - onTime + (heldSeconds + moves) / 60;
        }

        static Result sum(Result a, Result b) {
            return new Result(
                    a.heldSeconds + b.heldSeconds,
                    a.moves + b.moves,
                    a.undone + b.undone,
                    a.jobs + b.jobs,
                    a.onTime + b.onTime);
        }

        double onTimeShare() {
            return (double) onTime / jobs;
        }

        @Override
        public String toString() {
            return String.format(
                    "held %6.0f  moves %5d  undone %4d  on time %5d of %5d (%.3f)  cost %4.0f",
                    heldSeconds, moves, undone, onTime, jobs, onTimeShare(), cost());
        }
    }

    private record End(long millis, WorkerId worker, TaskRef task, long run) {}

    private record Arrived(long millis, InstanceId instance) {}

    private final FleetScheduler scheduler = new FleetScheduler(policy(), this, 0);
    private final PoolBalancer balancer;
    private final List<FleetInstance> instances = new ArrayList<>();
    private final Map<JobId, Arrival> open = new HashMap<>();
    private final PriorityQueue<End> ends =
            new PriorityQueue<>(Comparator.comparingLong(End::millis));
    private final List<long[]> heldBySecond = new ArrayList<>();
    private final List<Arrived> moving = new ArrayList<>();
    private final Map<InstanceId, Long> lastMoveMillis = new HashMap<>();
    private final Map<InstanceId, PoolId> lastOrigins = new HashMap<>();
    private long now;
    private long endMillis;
    private int workers;
    private double held;
    private int moves;
    private int undone;
    private int onTime;

    private PoolReplay(Function<FleetScheduler, PoolBalancer> rule) {
        balancer = rule.apply(scheduler);
        int share = (int) (0.6 * INSTANCES / POOLS);
        for (int number = 0; number < INSTANCES; number++) {
            PoolId pool = number < POOLS * share ? pool(number % POOLS) : STANDBY;
            instances.add(up(new InstanceId("m-" + number), pool));
        }
        for (int pool = 0; pool < POOLS; pool++) {
            StepDefinition lasting =
                    step(LASTING_TASKS, 2, 500, List.of(), true, LASTING_TASKS / 8);
            scheduler.addJob(job(1_000_000 + pool, pool, List.of(lasting)), Optional.empty(), 0, 0);
        }
    }

    static PoolId pool(int pool) {
        return new PoolId("pool-" + pool);
    }

    static QueueId queue(int pool) {
        return new QueueId("queue-" + pool);
    }

    private static FleetPolicy policy() {
        Map<QueueId, QueuePolicy> queues = new HashMap<>();
        Map<PoolId, PoolPolicy> pools = new HashMap<>();
        pools.put(STANDBY, new PoolPolicy(STANDBY, true));
        for (int pool = 0; pool < POOLS; pool++) {
            pools.put(pool(pool), new PoolPolicy(pool(pool), false));
            queues.put(
                    queue(pool), new QueuePolicy(queue(pool), pool(pool), 0, 3, 1.6, 600, false));
        }
        return new FleetPolicy(1, List.of(), queues, pools, Map.of(), Map.of());
    }

    private static StepDefinition step(
            int count,
            double cores,
            long estimate,
            List<Integer> after,
            boolean lasting,
            int maxUnavailable) {
        return new StepDefinition(
                count,
                new Resources(cores, 100, 0, 0),
                estimate,
                after,
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                lasting,
                0,
                false,
                maxUnavailable);
    }

    private static JobDefinition job(int number, int pool, List<StepDefinition> steps) {
        return new JobDefinition(
                Samples.jobId(number),
                queue(pool),
                pool(pool),
                Optional.empty(),
                0,
                "spec",
                steps,
                Recurrence.NONE);
    }

    /** Draws the arrivals of all pools, in order of time. Estimates are off by up to twofold. */
    static List<Arrival> arrivals(Shape shape, long millis, long seed) {
        Random random = new Random(seed);
        List<Arrival> drawn = new ArrayList<>();
        for (long at = 0; at < millis; at += 10) {
            for (int pool = 0; pool < POOLS; pool++) {
                double mean = pool < 2 ? QUICK_PER_SECOND : LARGE_PER_SECOND;
                if (random.nextDouble() < mean * shape.factor(pool, at) / 100) {
                    drawn.add(arrival(drawn.size(), pool, at, random));
                }
            }
        }
        return drawn;
    }

    private static Arrival arrival(int number, int pool, long at, Random random) {
        boolean quick = pool < 2;
        long run = (long) ((quick ? 540 : 1_100) * (0.7 + 0.6 * random.nextDouble()));
        int steps = quick && random.nextDouble() < 0.4 ? 1 : 2;
        long estimate = (long) (run * Math.pow(2, 2 * random.nextDouble() - 1));
        List<StepDefinition> definitions =
                IntStream.range(0, steps)
                        .mapToObj(
                                step ->
                                        step(
                                                8,
                                                quick ? 3.1 : 6.7,
                                                estimate,
                                                step == 0 ? List.of() : List.of(step - 1),
                                                false,
                                                0))
                        .toList();
        long due = at + (long) (1.6 * steps * run) + 600;
        return new Arrival(at, pool, job(number, pool, definitions), run, due);
    }

    static Result run(
            List<Arrival> arrivals, long millis, Function<FleetScheduler, PoolBalancer> rule) {
        return new PoolReplay(rule).replay(arrivals, millis);
    }

    /** Returns the instances of each pool at each second. */
    static List<long[]> heldBySecond(
            List<Arrival> arrivals, long millis, Function<FleetScheduler, PoolBalancer> rule) {
        PoolReplay replay = new PoolReplay(rule);
        replay.replay(arrivals, millis);
        return replay.heldBySecond;
    }

    private Result replay(List<Arrival> arrivals, long millis) {
        endMillis = millis;
        int next = 0;
        for (now = 0; now < millis; now += TICK_MILLIS) {
            endMoves();
            endTasks();
            while (next < arrivals.size() && arrivals.get(next).millis() <= now) {
                Arrival arrival = arrivals.get(next++);
                open.put(arrival.job().id(), arrival);
                scheduler.addJob(arrival.job(), Optional.empty(), now, now);
            }
            scheduler.plan(now, now);
            scheduler.takeChangedJobs().forEach(this::countEnded);
            if (now % BALANCE_MILLIS == 0) {
                balance();
            }
            held += heldInstances() * TICK_MILLIS / 1_000.0;
            if (now % 1_000 == 0) {
                heldBySecond.add(IntStream.range(0, POOLS).mapToLong(this::instancesIn).toArray());
            }
        }
        int due = (int) arrivals.stream().filter(a -> a.dueMillis() < millis).count();
        return new Result(held, moves, undone, due, onTime);
    }

    private long instancesIn(int pool) {
        return instances.stream().filter(i -> i.pool().equals(pool(pool))).count();
    }

    private long heldInstances() {
        return instances.stream().filter(i -> !i.pool().equals(STANDBY)).count();
    }

    private void balance() {
        scheduler.updateInstances(instances, now);
        balancer.updateInstances(instances, now, now - 1);
        for (MoveOrder order : balancer.plan(now)) {
            move(order);
            balancer.answered(order, InstanceAnswer.DONE, now - 1);
        }
    }

    private void move(MoveOrder order) {
        InstanceId id = order.instance();
        int index = Integer.parseInt(id.value().substring(2));
        PoolId origin = instances.get(index).pool();
        boolean back = order.pool().equals(lastOrigins.get(id));
        if (back && now - lastMoveMillis.get(id) < UNDO_MILLIS) {
            undone++;
        }
        moves++;
        lastOrigins.put(id, origin);
        lastMoveMillis.put(id, now);
        moving.add(new Arrived(now + MOVE_MILLIS, id));
        instances.set(
                index,
                new FleetInstance(id, order.pool(), InstanceState.MOVING, "", Optional.empty()));
    }

    private void endMoves() {
        for (Arrived arrived : List.copyOf(moving)) {
            if (arrived.millis() <= now) {
                moving.remove(arrived);
                int index = Integer.parseInt(arrived.instance().value().substring(2));
                instances.set(index, up(arrived.instance(), instances.get(index).pool()));
            }
        }
    }

    /** The instance in its pool, with a new worker if the pool is not the standby pool. */
    private FleetInstance up(InstanceId id, PoolId pool) {
        if (pool.equals(STANDBY)) {
            return new FleetInstance(id, pool, InstanceState.UP, "", Optional.empty());
        }
        WorkerId worker = Samples.workerId(++workers);
        scheduler.registerWorker(
                new WorkerEntry(
                        worker,
                        pool,
                        SAMPLE.zone(),
                        SAMPLE.address(),
                        CAPACITY,
                        List.of(),
                        "",
                        false,
                        0,
                        1),
                now);
        report(worker, List.of());
        return new FleetInstance(id, pool, InstanceState.UP, "", Optional.of(worker));
    }

    private void report(WorkerId worker, List<FinishedRun> ended) {
        WorkerReport report = new WorkerReport(now, 1, List.of(), ended);
        scheduler.handleReport(worker, report, ended, 0, now);
    }

    private void endTasks() {
        while (!ends.isEmpty() && ends.peek().millis() <= now) {
            End end = ends.poll();
            report(
                    end.worker(),
                    List.of(new FinishedRun(1, end.task(), end.run(), RunEnd.DONE, "")));
        }
    }

    private void countEnded(JobProgress progress) {
        if (progress.phase().isFinal()) {
            long due = open.remove(progress.job()).dueMillis();
            if (now <= due && due < endMillis) {
                onTime++;
            }
            scheduler.removeJob(progress.job());
        }
    }

    @Override
    public void start(WorkerId worker, StartOrder order) {
        Arrival arrival = open.get(order.task().job());
        if (arrival != null) {
            ends.add(new End(now + arrival.runMillis(), worker, order.task(), order.run()));
        }
    }

    @Override
    public void stop(WorkerId worker, TaskRef task, long run) {
        throw new IllegalStateException("a replayed run was stopped: " + task);
    }

    @Override
    public void pace(WorkerId worker, TaskRef task, long run, int percent) {}
}
