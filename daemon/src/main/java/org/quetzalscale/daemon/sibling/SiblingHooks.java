package org.quetzalscale.daemon.sibling;

import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.quetzalscale.core.id.WorkerId;

/**
 * What other parts of the daemon exchange with other instances.
 *
 * @param ownLoad requests that this instance has running on each worker; workers without any may be
 *     left out
 * @param loads takes the reports of the others
 * @param jobWake runs when another instance took a job
 */
public record SiblingHooks(
        Supplier<Map<WorkerId, Integer>> ownLoad, LoadListener loads, Runnable jobWake) {
    /** Hooks that do nothing. */
    public static final SiblingHooks NONE =
            new SiblingHooks(Map::of, (sibling, inFlight) -> {}, () -> {});

    /** Requires all parts. */
    public SiblingHooks {
        Objects.requireNonNull(ownLoad, "ownLoad");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(jobWake, "jobWake");
    }
}
