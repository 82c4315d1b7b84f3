package org.quetzalscale.core.task;

/**
 * When a job's steps run.
 *
 * @param count number of occurrences; 0 for a job that runs once, at once
 * @param startAtEpochMillis due time of the first occurrence, Unix milliseconds
 * @param intervalMillis time between due times
 */
public record Recurrence(int count, long startAtEpochMillis, long intervalMillis) {
    /** A job that runs once, at once. */
    public static final Recurrence NONE = new Recurrence(0, 0, 0);

    /** How many times the steps run. */
    public int occurrences() {
        return Math.max(1, count);
    }

    /** The due time of an occurrence in Unix milliseconds; 0 for a job that runs at once. */
    public long dueEpochMillis(int occurrence) {
        return count == 0 ? 0 : startAtEpochMillis + occurrence * intervalMillis;
    }
}
