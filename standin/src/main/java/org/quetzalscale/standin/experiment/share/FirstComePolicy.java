package org.quetzalscale.standin.experiment.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.job.JobSpec;
import org.quetzalscale.core.share.Resources;

/**
 * Starts jobs in order of submission on the first worker with room by declared sizes, within the
 * teams' upper limits; nothing is stopped once it runs.
 */
final class FirstComePolicy implements Policy {
    private static final long LEASE_MILLIS = Long.MAX_VALUE / 4;

    private final TaskRunner runner;
    private final Deque<Workload.Arrival> waiting = new ArrayDeque<>();
    private final List<Placed> placed = new ArrayList<>();

    FirstComePolicy(TaskRunner runner) {
        this.runner = runner;
    }

    @Override
    public void submit(Workload.Arrival arrival) {
        waiting.add(arrival);
    }

    @Override
    public boolean isIdle() {
        return waiting.isEmpty() && placed.isEmpty();
    }

    @Override
    public void tick() {
        placed.removeIf(job -> renew(job.task()).state().ended());
        while (!waiting.isEmpty()) {
            Workload.Arrival next = waiting.peek();
            int worker = firstFit(next.spec());
            if (worker < 0 || !isWithinLimit(next.spec())) {
                return;
            }
            TaskId task = new TaskId(next.id() + "-1");
            runner.start(task, Fleet.worker(worker), next.spec().task(""), LEASE_MILLIS);
            placed.add(new Placed(task, worker, next.spec()));
            waiting.poll();
        }
    }

    private TaskReport renew(TaskId task) {
        return runner.renew(task, LEASE_MILLIS).toCompletableFuture().join();
    }

    private int firstFit(JobSpec spec) {
        for (int i = 0; i < Fleet.WORKERS; i++) {
            Resources free = new Resources(Fleet.CORES, Fleet.MEMORY_MIB, 0, Fleet.SLOTS);
            for (Placed job : placed) {
                if (job.worker() == i) {
                    free = free.minus(size(job.spec()));
                }
            }
            if (size(spec).fitsIn(free)) {
                return i;
            }
        }
        return -1;
    }

    private boolean isWithinLimit(JobSpec spec) {
        TeamId team = spec.team();
        int used =
                placed.stream()
                        .filter(job -> job.spec().team().equals(team))
                        .mapToInt(job -> job.spec().slots())
                        .sum();
        return used + spec.slots() <= Workload.UPPER_LIMIT;
    }

    static Resources size(JobSpec spec) {
        return new Resources(spec.cores(), spec.memoryMib(), spec.accelerators(), spec.slots());
    }

    private record Placed(TaskId task, int worker, JobSpec spec) {}
}
