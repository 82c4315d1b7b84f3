package org.quetzalscale.core.job;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.VirtualTime;

/**
 * Platform with simulated tasks and faults under virtual time. The command of a task has the form
 * {@code <team>,<slots>,<run time in ms>,<ok|fail>}.
 */
final class FakeTaskRunner implements TaskRunner {
    /** Minimum age of a polled report before it is refreshed. */
    private static final long REPORT_LAG_MILLIS = 1_000;

    /** Run time after which a failing task ends. */
    private static final long FAIL_RUN_MILLIS = 50;

    private final VirtualTime time;
    private final Random random;
    private final Map<TaskId, Task> tasks = new TreeMap<>();
    private final Set<WorkerId> failing = new HashSet<>();
    private final Set<WorkerId> lost = new HashSet<>();
    private double failureProbability;
    private boolean falseUsage;

    FakeTaskRunner(VirtualTime time, long seed) {
        this.time = time;
        this.random = new Random(seed);
    }

    void failRandomly(double probability) {
        failureProbability = probability;
    }

    void reportFalseUsage(boolean enabled) {
        falseUsage = enabled;
    }

    void failTasksOf(WorkerId worker) {
        failing.add(worker);
    }

    void lose(WorkerId worker) {
        advance();
        lost.add(worker);
        tasks.values().stream()
                .filter(task -> task.worker.equals(worker) && !task.state.ended())
                .forEach(task -> task.state = TaskState.LOST);
    }

    /** Actual executions, which polled reports may lag behind or falsify. */
    List<TaskReport> executions() {
        advance();
        return tasks.values().stream().map(Task::report).toList();
    }

    /** Slots occupied by the running tasks of a team. */
    int runningSlots(String team) {
        advance();
        return tasks.values().stream()
                .filter(task -> !task.state.ended() && task.commandField(0).equals(team))
                .mapToInt(task -> Integer.parseInt(task.commandField(1)))
                .sum();
    }

    @Override
    public CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis) {
        if (lost.contains(worker) && !tasks.containsKey(task)) {
            return fail(ErrorKind.INVALID_STATE);
        }
        return answer(
                () -> {
                    tasks.computeIfAbsent(
                            task, id -> new Task(id, worker, spec, leaseMillis, time.nowMillis()));
                    return tasks.get(task);
                });
    }

    @Override
    public CompletionStage<TaskReport> renew(TaskId task, long leaseMillis) {
        return change(task, known -> known.leaseUntilMillis = time.nowMillis() + leaseMillis);
    }

    @Override
    public CompletionStage<TaskReport> checkpoint(TaskId task) {
        return change(task, Task::writeCheckpoint);
    }

    @Override
    public CompletionStage<TaskReport> throttle(TaskId task, int percent) {
        return change(task, known -> {});
    }

    @Override
    public CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst) {
        return change(
                task,
                known -> {
                    if (checkpointFirst) {
                        known.writeCheckpoint();
                    }
                    known.state = TaskState.STOPPED;
                });
    }

    @Override
    public CompletionStage<Optional<TaskReport>> report(TaskId task) {
        advance();
        Task known = tasks.get(task);
        if (known != null && time.nowMillis() - known.polledReportAtMillis >= REPORT_LAG_MILLIS) {
            known.polledReport = falsify(known.report());
            known.polledReportAtMillis = time.nowMillis();
        }
        return random.nextDouble() < failureProbability
                ? fail(ErrorKind.STORE_UNAVAILABLE)
                : CompletableFuture.completedFuture(
                        Optional.ofNullable(known).map(present -> present.polledReport));
    }

    private TaskReport falsify(TaskReport report) {
        if (!falseUsage || report.state().ended()) {
            return report;
        }
        return new TaskReport(
                report.task(),
                report.worker(),
                report.state(),
                report.runMillis(),
                report.cpuMillis() * random.nextInt(50),
                report.peakMemoryMib() * random.nextInt(50),
                report.checkpoint(),
                report.reason());
    }

    private CompletionStage<TaskReport> change(TaskId id, Consumer<Task> change) {
        advance();
        Task task = tasks.get(id);
        if (task == null) {
            return fail(ErrorKind.RESOURCE_UNKNOWN);
        }
        return answer(
                () -> {
                    if (!task.state.ended()) {
                        change.accept(task);
                    }
                    return task;
                });
    }

    private CompletionStage<TaskReport> answer(Supplier<Task> effect) {
        double draw = random.nextDouble();
        if (draw < failureProbability / 2) {
            return fail(ErrorKind.STORE_UNAVAILABLE);
        }
        Task task = effect.get();
        if (draw < failureProbability) {
            return fail(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }
        advance();
        return CompletableFuture.completedFuture(task.report());
    }

    private static <T> CompletionStage<T> fail(ErrorKind kind) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, "fault"));
    }

    private void advance() {
        tasks.values().forEach(task -> task.advanceTo(time.nowMillis()));
    }

    private final class Task {
        private final TaskId id;
        private final WorkerId worker;
        private final TaskSpec spec;
        private final long startedAtMillis;
        private final long resumedRunMillis;
        private TaskState state = TaskState.RUNNING;
        private long leaseUntilMillis;
        private long ranMillis;
        private String checkpoint;
        private TaskReport polledReport;
        private long polledReportAtMillis;

        private Task(TaskId id, WorkerId worker, TaskSpec spec, long leaseMillis, long now) {
            this.id = id;
            this.worker = worker;
            this.spec = spec;
            this.startedAtMillis = now;
            this.leaseUntilMillis = now + leaseMillis;
            this.checkpoint = spec.checkpoint();
            this.resumedRunMillis =
                    checkpoint.isEmpty()
                            ? 0
                            : Long.parseLong(checkpoint.substring(checkpoint.indexOf('@') + 1));
            this.polledReport = report();
            this.polledReportAtMillis = now;
        }

        private String commandField(int index) {
            return spec.command().split(",")[index];
        }

        private void writeCheckpoint() {
            checkpoint = id + "@" + (resumedRunMillis + ranMillis);
        }

        private void advanceTo(long nowMillis) {
            if (state.ended()) {
                return;
            }
            boolean fails = failing.contains(worker) || commandField(3).equals("fail");
            long needMillis =
                    fails
                            ? FAIL_RUN_MILLIS
                            : Math.max(1, Long.parseLong(commandField(2)) - resumedRunMillis);
            long endMillis = Math.min(startedAtMillis + needMillis, leaseUntilMillis);
            ranMillis = Math.min(nowMillis, endMillis) - startedAtMillis;
            if (nowMillis >= endMillis) {
                state =
                        ranMillis < needMillis
                                ? TaskState.LEASE_EXPIRED
                                : fails ? TaskState.FAILED : TaskState.SUCCEEDED;
            }
        }

        private TaskReport report() {
            return new TaskReport(
                    id,
                    worker,
                    state,
                    ranMillis,
                    ranMillis * spec.cores(),
                    spec.memoryMib(),
                    checkpoint,
                    state == TaskState.FAILED ? "exit 1" : "");
        }
    }
}
