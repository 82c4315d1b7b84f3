package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.id.TeamId;

/**
 * What a team submits.
 *
 * @param pool pool whose workers run it, or empty for any
 * @param command what the worker runs
 * @param cores processors that it is declared to need
 * @param memoryMib memory that it is declared to need, in MiB
 * @param slots slots of a worker, and units of the team's upper limit, that it takes
 * @param expectedRunMillis declared run time in milliseconds
 * @param urgent whether it goes ahead of the team's other jobs and may reclaim capacity
 * @param priority order among the team's jobs of the same urgency; higher goes first
 * @param deadlineMillis time in milliseconds after its submission by which it should end; 0 for
 *     none
 * @param maxFailures failed attempts after which the job has failed
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
     * Checks the ranges.
     *
     * @throws QuetzalscaleException INVALID_FIELD with the field's name in requests and its value
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
     * What the platform runs.
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
