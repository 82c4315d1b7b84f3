package org.quetzalscale.core.schedule;

/**
 * Limits for how many tasks an owner holds state at the same time. It answers jobs whose tasks
 * together exceed the memory of an instance: their occurrences are opened one after the other.
 */
final class OpenTasks {
    /** Beyond this number, only small occurrences are opened. A task takes about 200 bytes. */
    private static final int MAX_TASKS = 150_000;

    /** Tasks of an occurrence that is opened beyond {@link #MAX_TASKS}. */
    private static final int SMALL_OCCURRENCE = 200;

    /** Tasks of small occurrences that are opened beyond {@link #MAX_TASKS}. */
    private static final int RESERVE = 50_000;

    private long open;

    /** Whether an occurrence with this number of tasks may be opened. */
    boolean permits(long tasks) {
        long limit = tasks <= SMALL_OCCURRENCE ? MAX_TASKS + RESERVE : MAX_TASKS;
        return tasks <= limit - open;
    }

    void add(long tasks) {
        open += tasks;
    }

    void remove(long tasks) {
        open -= tasks;
    }

    long count() {
        return open;
    }
}
