package org.quetzalscale.core.fleet;

import java.util.Objects;

/**
 * The command and the declared resources of a task.
 *
 * @param command command that the worker runs
 * @param cores declared number of CPU cores
 * @param memoryMib declared memory, in MiB
 * @param accelerators declared number of accelerators
 * @param checkpoint name of the checkpoint to resume from, or empty to start from the beginning
 */
public record TaskSpec(
        String command, int cores, int memoryMib, int accelerators, String checkpoint) {
    /** Neither {@code command} nor {@code checkpoint} may be null. */
    public TaskSpec {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
