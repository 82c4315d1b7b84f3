package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.task.TaskRef;

/**
 * Records which tasks of one lasting step are available, as their workers see them, and which were
 * ended by orders of the owner.
 */
final class LastingTaskHistory {
    /**
     * Tasks ended by an order count as unavailable at once, other tasks only after this time, in
     * which an owner notices their end.
     */
    private static final long DETECTION_MILLIS = 4_500;

    /** Time from the start of a task until it is available. */
    static final long STARTUP_MILLIS = 300;

    private final VirtualLoop loop;
    private final int maxUnavailable;
    private final Map<TaskRef, State> tasks = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** State of one task. */
    private static final class State {
        boolean running;
        long startedMillis;
        long unavailableSinceMillis;
        boolean endedByOrder;

        boolean isAvailable(long nowMillis) {
            return running && nowMillis - startedMillis >= STARTUP_MILLIS;
        }
    }

    LastingTaskHistory(VirtualLoop loop, int maxUnavailable) {
        this.loop = loop;
        this.maxUnavailable = maxUnavailable;
    }

    void addTask(TaskRef task) {
        tasks.put(task, new State());
    }

    Set<TaskRef> tasks() {
        return tasks.keySet();
    }

    boolean contains(TaskRef task) {
        return tasks.containsKey(task);
    }

    void started(TaskRef task) {
        State state = tasks.get(task);
        state.running = true;
        state.startedMillis = loop.nowMillis();
    }

    /**
     * Records the end of a run.
     *
     * @param ordered whether an order of the owner ended it
     */
    void ended(TaskRef task, boolean ordered) {
        State state = tasks.get(task);
        long now = loop.nowMillis();
        if (state.isAvailable(now)) {
            if (ordered && othersDown(task) >= maxUnavailable) {
                violations.add(
                        now + ": " + task + " is ended while " + othersDown(task) + " are down");
            }
            state.endedByOrder = ordered;
            state.unavailableSinceMillis = now;
        }
        state.running = false;
    }

    List<String> violations() {
        return violations;
    }

    boolean allAvailable() {
        return tasks.values().stream().allMatch(state -> state.isAvailable(loop.nowMillis()));
    }

    private long othersDown(TaskRef except) {
        long now = loop.nowMillis();
        return tasks.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(except))
                .map(Map.Entry::getValue)
                .filter(state -> !state.isAvailable(now))
                .filter(
                        state ->
                                state.endedByOrder
                                        || now - state.unavailableSinceMillis >= DETECTION_MILLIS)
                .count();
    }
}
