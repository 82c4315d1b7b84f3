package org.quetzalscale.standin.experiment.share;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.fleet.InMemoryTaskRunner;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.TimeSource;

/** Simulated tasks whose starts and losses are recorded. */
final class ObservedRunner implements TaskRunner {
    private static final long USAGE_PERIOD_MILLIS = 1_000;

    private final InMemoryTaskRunner runner;
    private final TimeSource time;
    private final Map<String, Long> firstStartMillis = new HashMap<>();
    private final Map<TaskId, String> running = new LinkedHashMap<>();
    private long lostMillis;
    private int stops;
    private int throttles;

    ObservedRunner(TimeSource time) {
        this.time = time;
        this.runner = new InMemoryTaskRunner(time, USAGE_PERIOD_MILLIS);
    }

    Optional<Long> firstStartMillis(String job) {
        return Optional.ofNullable(firstStartMillis.get(job));
    }

    /** Jobs that run now, in no special order. */
    Iterable<String> runningJobs() {
        running.keySet()
                .removeIf(
                        task ->
                                runner.renew(task, Long.MAX_VALUE / 4)
                                        .toCompletableFuture()
                                        .join()
                                        .state()
                                        .ended());
        return running.values();
    }

    long lostMillis() {
        return lostMillis;
    }

    int stops() {
        return stops;
    }

    int throttles() {
        return throttles;
    }

    @Override
    public CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis) {
        String job = task.value().substring(0, task.value().lastIndexOf('-'));
        firstStartMillis.putIfAbsent(job, time.nowMillis());
        running.put(task, job);
        return runner.start(task, worker, spec, leaseMillis);
    }

    @Override
    public CompletionStage<TaskReport> renew(TaskId task, long leaseMillis) {
        return runner.renew(task, leaseMillis);
    }

    @Override
    public CompletionStage<TaskReport> checkpoint(TaskId task) {
        return runner.checkpoint(task);
    }

    @Override
    public CompletionStage<TaskReport> throttle(TaskId task, int percent) {
        throttles++;
        return runner.throttle(task, percent);
    }

    @Override
    public CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst) {
        return runner.stop(task, checkpointFirst)
                .thenApply(
                        report -> {
                            if (running.remove(task) != null) {
                                stops++;
                                if (!checkpointFirst) {
                                    lostMillis += report.runMillis();
                                }
                            }
                            return report;
                        });
    }

    @Override
    public CompletionStage<Optional<TaskReport>> report(TaskId task) {
        return runner.report(task);
    }
}
