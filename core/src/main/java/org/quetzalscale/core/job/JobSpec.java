package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.id.TeamId;

/**
 * Specification of a job as submitted by a team. Components are stored by name.
 *
 * @param pool pool whose workers may run the job, or empty for any pool
 * @param command command that the worker runs
 * @param cores declared number of processor cores
 * @param memoryMib declared memory in MiB
 * @param accelerators declared number of accelerators
 * @param slots worker slots, and units of the team's upper limit, that the job occupies
 * @param expectedRunMillis declared run time in milliseconds
 * @param urgent whether the job precedes other jobs of the team and may preempt running jobs at
 *     once
 * @param priority order among the team's jobs of the same urgency; higher values go first
 * @param deadlineMillis target end in milliseconds after submission, which only orders jobs; 0 for
 *     none
 * @param maxFailures number of failed attempts after which the job fails
 */
public record JobSpec(
        TeamId team,
        String pool,
        String command,
        int cores,
        int memoryMib,
        int accelerators,
        int slots,
        long expectedRunMillis,
        boolean urgent,
        int priority,
        long deadlineMillis,
        int maxFailures) {
    private static final int MAX_COMMAND_CHARS = 4_096;
    private static final int MAX_COUNT = 100_000;
    private static final int MAX_MEMORY_MIB = 1 << 30;
    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_FAILURES = 16;
    private static final long MAX_RUN_MILLIS = 30L * 24 * 3_600 * 1_000;

    /**
     * Validates all components.
     *
     * @throws QuetzalscaleException INVALID_FIELD with the field's name in the request and its
     *     value
     */
    public JobSpec {
        Objects.requireNonNull(team, "team");
        if (pool == null || !pool.isEmpty()) {
            Names.requireName("pool", pool);
        }
        if (command == null || command.isBlank() || command.length() > MAX_COMMAND_CHARS) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    "command",
                    "command has the value \""
                            + abbreviate(command)
                            + "\": expected 1 to "
                            + MAX_COMMAND_CHARS
                            + " characters");
        }
        requireRange("cores", cores, 0, MAX_COUNT);
        requireRange("memoryMib", memoryMib, 0, MAX_MEMORY_MIB);
        requireRange("accelerators", accelerators, 0, MAX_COUNT);
        requireRange("slots", slots, 1, MAX_COUNT);
        requireRange("expectedRunMs", expectedRunMillis, 1, MAX_RUN_MILLIS);
        requireRange("priority", priority, -MAX_PRIORITY, MAX_PRIORITY);
        requireRange("deadlineMs", deadlineMillis, 0, Long.MAX_VALUE);
        requireRange("maxFailures", maxFailures, 1, MAX_FAILURES);
    }

    /**
     * Returns the task that the platform runs.
     *
     * @param checkpoint checkpoint to resume from, or empty
     */
    public TaskSpec task(String checkpoint) {
        return new TaskSpec(command, cores, memoryMib, accelerators, checkpoint);
    }

    private static void requireRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    field,
                    field
                            + " has the value "
                            + value
                            + ": expected a whole number from "
                            + min
                            + " to "
                            + max);
        }
    }

    private static String abbreviate(String text) {
        return text == null || text.length() <= 64 ? text : text.substring(0, 64) + "...";
    }
}
