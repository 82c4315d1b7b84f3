package org.quetzalscale.daemon.sibling;

import java.util.Objects;
import java.util.function.Supplier;
import org.quetzalscale.core.route.InstanceLoad;

/**
 * What other parts of the daemon exchange with other instances.
 *
 * @param ownLoad what this instance has running and waiting
 * @param loads takes the reports of the others
 * @param jobWake runs when another instance took a job
 */
public record SiblingHooks(Supplier<InstanceLoad> ownLoad, LoadListener loads, Runnable jobWake) {
    /** Hooks that do nothing. */
    public static final SiblingHooks NONE =
            new SiblingHooks(() -> InstanceLoad.NONE, (sibling, load) -> {}, () -> {});

    /** Requires all parts. */
    public SiblingHooks {
        Objects.requireNonNull(ownLoad, "ownLoad");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(jobWake, "jobWake");
    }
}
