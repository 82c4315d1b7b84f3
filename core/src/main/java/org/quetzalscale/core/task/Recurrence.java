package org.quetzalscale.core.task;

/**
 * How often and when the steps of a job run.
 *
 * @param count number of occurrences; 0 for a job that runs once, immediately
 * @param startAtEpochMillis due time of the first occurrence in Unix milliseconds
 * @param intervalMillis time between the due times of two occurrences
 */
public record Recurrence(int count, long startAtEpochMillis, long intervalMillis) {
    /** A job that runs once, immediately. */
    public static final Recurrence NONE = new Recurrence(0, 0, 0);

    /** The number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, count);
    }

    /** The due time of an occurrence in Unix milliseconds; 0 for a job that runs immediately. */
    public long dueEpochMillis(int occurrence) {
        return count == 0 ? 0 : startAtEpochMillis + occurrence * intervalMillis;
    }
}
