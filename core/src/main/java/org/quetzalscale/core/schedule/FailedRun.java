package org.quetzalscale.core.schedule;

/**
 * A run that failed, with what its owner knew of it.
 *
 * @param durationMillis how long the run lasted; 0 if that is not known
 * @param served whether the run did lasting work, which may fail at any time, before it failed
 */
record FailedRun(long number, long durationMillis, boolean served) {
    /**
     * The failed run of a task, before the task is released.
     *
     * @param current whether it is the run that the owner has assigned
     */
    static FailedRun of(TrackedTask task, long number, boolean current, long nowMillis) {
        boolean running = current && task.state == TrackedTask.State.RUNNING;
        return new FailedRun(
                number,
                running ? nowMillis - task.stateSinceMillis : 0,
                running && task.isShownHarmless());
    }
}
