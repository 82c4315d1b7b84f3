package org.quetzalscale.core.fleet;

import java.util.Objects;

/**
 * What the platform is to run.
 *
 * @param command what the worker runs
 * @param cores processors that it declares to need
 * @param memoryMib memory that it declares to need, in MiB
 * @param accelerators accelerators that it declares to need
 * @param checkpoint name of the checkpoint to resume from, or empty to start afresh
 */
public record TaskSpec(
        String command, int cores, int memoryMib, int accelerators, String checkpoint) {
    /** Requires a command and a checkpoint name, which may be empty. */
    public TaskSpec {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
