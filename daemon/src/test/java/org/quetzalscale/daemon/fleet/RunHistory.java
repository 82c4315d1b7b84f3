package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.TaskRef;

/**
 * Records all starts and ends of tasks as the workers see them, and checks that they keep the
 * rules.
 */
final class RunHistory {
    private static final int CRASHES_OF_A_FAILED_TASK = 3;

    /** The platform counts the third start after these crashes as a fault. */
    private static final int MAX_STARTS_AFTER_CRASHES = 2;

    private final Map<JobId, JobDefinition> jobs = new HashMap<>();
    private final Map<TaskRef, List<Event>> events = new HashMap<>();
    private final Map<TaskRef, String> running = new TreeMap<>(RunHistory::compare);
    private final List<String> violations = new ArrayList<>();
    private final Map<TaskRef, Integer> crashes = new HashMap<>();
    private final Map<TaskRef, Integer> startsAfterCrashes = new HashMap<>();
    private BiPredicate<TaskRef, String> forbiddenStart = (task, worker) -> false;
    private final List<String> expirations = new ArrayList<>();
    private final int maxAttempts;
    private final LastingTaskHistory lasting;

    RunHistory(int maxAttempts, LastingTaskHistory lasting) {
        this.maxAttempts = maxAttempts;
        this.lasting = lasting;
    }

    /** Adds a rule for which workers a task must not be started on. */
    void setForbiddenStart(BiPredicate<TaskRef, String> forbidden) {
        forbiddenStart = forbidden;
    }

    /** The worker on which the task runs; empty if it does not run. */
    Optional<String> workerOf(TaskRef task) {
        return Optional.ofNullable(running.get(task));
    }

    boolean isLasting(TaskRef task) {
        return lasting.contains(task);
    }

    /** A start or an end; an end may be acknowledged later. */
    static final class Event {
        final long atMillis;

        /** Empty for a start. */
        final Optional<RunEnd> end;

        boolean acknowledged;

        Event(long atMillis, Optional<RunEnd> end) {
            this.atMillis = atMillis;
            this.end = end;
        }

        boolean isAcknowledged(RunEnd how) {
            return acknowledged && end.equals(Optional.of(how));
        }
    }

    void addJob(JobDefinition job) {
        jobs.put(job.id(), job);
    }

    void started(long atMillis, TaskRef task, String worker) {
        String other = running.put(task, worker);
        if (other != null) {
            violations.add(atMillis + ": " + task + " runs on " + other + " and " + worker);
        }
        checkStartAfterCrashes(atMillis, task);
        if (forbiddenStart.test(task, worker)) {
            violations.add(atMillis + ": " + task + " starts on " + worker + ", an evacuated one");
        }
        for (int earlier : jobs.get(task.job()).steps().get(task.step()).after()) {
            if (!isDone(task.job(), task.occurrence(), earlier)) {
                violations.add(atMillis + ": " + task + " starts before step " + earlier);
            }
        }
        eventsOf(task).add(new Event(atMillis, Optional.empty()));
        if (isLasting(task)) {
            lasting.started(task);
        }
    }

    /**
     * Records a run that was lost without an end that an owner can learn of.
     *
     * @param ordered whether an order of the owner ended it
     */
    void lost(TaskRef task, boolean ordered) {
        running.remove(task);
        if (isLasting(task)) {
            lasting.ended(task, ordered);
        }
    }

    /** Records that the task crashed its worker. */
    void crashedWorker(TaskRef task) {
        crashes.merge(task, 1, Integer::sum);
    }

    private void checkStartAfterCrashes(long atMillis, TaskRef task) {
        if (crashes.getOrDefault(task, 0) < CRASHES_OF_A_FAILED_TASK) {
            return;
        }
        if (startsAfterCrashes.merge(task, 1, Integer::sum) > MAX_STARTS_AFTER_CRASHES) {
            violations.add(atMillis + ": " + task + " starts again after it crashed its workers");
        }
    }

    Event ended(long atMillis, TaskRef task, RunEnd how) {
        running.remove(task);
        if (isLasting(task)) {
            lasting.ended(task, how == RunEnd.STOPPED);
        }
        if (how == RunEnd.EXPIRED) {
            expirations.add(atMillis + ": the lease of " + task + " expires");
        }
        Event event = new Event(atMillis, Optional.of(how));
        eventsOf(task).add(event);
        return event;
    }

    void addViolation(String text) {
        violations.add(text);
    }

    boolean isDone(JobId job, int occurrence, int step) {
        int count = jobs.get(job).steps().get(step).count();
        for (int index = 0; index < count; index++) {
            TaskRef task = new TaskRef(job, occurrence, step, index);
            if (eventsOf(task).stream().noneMatch(e -> e.end.equals(Optional.of(RunEnd.DONE)))) {
                return false;
            }
        }
        return true;
    }

    boolean isDone(JobId job) {
        JobDefinition definition = jobs.get(job);
        for (int occurrence = 0; occurrence < definition.recurrence().occurrences(); occurrence++) {
            for (int step = 0; step < definition.steps().size(); step++) {
                if (!isDone(job, occurrence, step)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Whether a task of the job used up its attempts, or crashed the workers that started it. */
    boolean hasFailed(JobId job) {
        return crashes.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        entry.getKey().job().equals(job)
                                                && entry.getValue() >= CRASHES_OF_A_FAILED_TASK)
                || events.entrySet().stream()
                        .filter(entry -> entry.getKey().job().equals(job))
                        .anyMatch(entry -> count(entry.getValue(), RunEnd.FAILED) >= maxAttempts);
    }

    /** The runs that ended because their lease was not renewed. */
    List<String> expirations() {
        return expirations;
    }

    /** The violations of the rules, given all acknowledgements so far. */
    List<String> violations() {
        List<String> found = new ArrayList<>(violations);
        events.forEach((task, list) -> check(task, list, found));
        found.addAll(lasting.violations());
        return found;
    }

    private void check(TaskRef task, List<Event> list, List<String> found) {
        int failed = 0;
        boolean done = false;
        for (Event event : list) {
            if (event.end.isEmpty()) {
                if (done) {
                    found.add(event.atMillis + ": " + task + " starts after it was done");
                }
                if (failed >= maxAttempts) {
                    found.add(event.atMillis + ": " + task + " starts after its last attempt");
                }
            }
            done |= event.isAcknowledged(RunEnd.DONE);
            failed += event.isAcknowledged(RunEnd.FAILED) ? 1 : 0;
        }
    }

    private static long count(List<Event> list, RunEnd how) {
        return list.stream().filter(event -> event.end.equals(Optional.of(how))).count();
    }

    private List<Event> eventsOf(TaskRef task) {
        return events.computeIfAbsent(task, ignored -> new ArrayList<>());
    }

    private static int compare(TaskRef left, TaskRef right) {
        return left.toString().compareTo(right.toString());
    }
}
