package org.quetzalscale.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Judges from the ends of its runs whether a worker is suspected of making them fail, and how much
 * it may start meanwhile. It answers a load in which some tasks can never be done and some workers
 * fail all that they start.
 *
 * <p>A failure says nothing of the worker once the whole step fails on many others too. A failure
 * also loses its weight with time: a worker may have nothing left on it that could succeed. A
 * suspected worker gets one task at a time, first those of jobs that have not failed on it. What it
 * runs since before its last failure does not count, and a task that runs on without a result
 * delays the next one only for a while.
 */
final class WorkerHealth {
    /** Number of failures after which a worker is suspected. */
    private static final int SUSPECT_FAILURES = 3;

    /** How long a failure counts. */
    private static final long FAILURE_MILLIS = 10_000;

    /** How long a started task delays the next one. Accepted work may not wait for 3 s. */
    private static final long TRIAL_MILLIS = 1_500;

    /** Pause after a failure before the next task of the same job, so that others come first. */
    private static final long REPEAT_MILLIS = 1_000;

    /** Failures that are remembered; the oldest are dropped. */
    private static final int MAX_FAILURES = 16;

    /** A failed run of a task. */
    private record Failure(TrackedTask task, long atMillis) {}

    private final Deque<Failure> failures = new ArrayDeque<>();
    private TrackedTask trial;
    private long trialRun;
    private long trialMillis;
    private boolean verdict;
    private long verdictMillis = Long.MIN_VALUE;

    void recordFailure(TrackedTask task, long nowMillis) {
        failures.addLast(new Failure(task, nowMillis));
        if (failures.size() > MAX_FAILURES) {
            failures.removeFirst();
        }
        verdictMillis = Long.MIN_VALUE;
    }

    /** Records a run that succeeded, or a lasting one that serves its users. */
    void recordSuccess() {
        reset();
    }

    /** Forgets all failures, because the worker succeeded or began a new incarnation. */
    void reset() {
        failures.clear();
        trial = null;
        verdictMillis = Long.MIN_VALUE;
    }

    /** Records a start, which a suspected worker has to prove before it gets more. */
    void recordStart(TrackedTask task, long nowMillis) {
        if (!isSuspect(nowMillis)) {
            return;
        }
        trial = task;
        trialRun = task.run;
        trialMillis = nowMillis;
    }

    boolean isSuspect(long nowMillis) {
        if (failures.size() < SUSPECT_FAILURES) {
            return false;
        }
        if (verdictMillis != nowMillis) {
            verdictMillis = nowMillis;
            verdict = countedFailures(nowMillis) >= SUSPECT_FAILURES;
        }
        return verdict;
    }

    /** Whether the worker may start the task. */
    boolean permits(TrackedTask task, long nowMillis) {
        if (!isSuspect(nowMillis)) {
            return true;
        }
        if (isTrialOpen(nowMillis)) {
            return false;
        }
        return !holdsBackJob(task, nowMillis);
    }

    /** Whether the worker refuses the task for its job, although it may start those of others. */
    boolean holdsBack(TrackedTask task, long nowMillis) {
        return isSuspect(nowMillis) && holdsBackJob(task, nowMillis);
    }

    private boolean holdsBackJob(TrackedTask task, long nowMillis) {
        for (Failure failure : failures) {
            if (failure.task().step.job == task.step.job
                    && nowMillis - failure.atMillis() < REPEAT_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private boolean isTrialOpen(long nowMillis) {
        return trial != null
                && trial.isAssigned()
                && trial.run == trialRun
                && nowMillis - trialMillis < TRIAL_MILLIS;
    }

    private int countedFailures(long nowMillis) {
        failures.removeIf(failure -> nowMillis - failure.atMillis() >= FAILURE_MILLIS);
        int counted = 0;
        Set<StepRun> blamed = new HashSet<>();
        Set<StepRun> sound = new HashSet<>();
        for (Failure failure : failures) {
            StepRun step = failure.task().step;
            if (blamed.contains(step)) {
                continue;
            }
            if (!sound.contains(step) && step.failsEverywhere(nowMillis)) {
                blamed.add(step);
                continue;
            }
            sound.add(step);
            counted++;
        }
        return counted;
    }
}
