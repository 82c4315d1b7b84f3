package org.quetzalscale.daemon.sibling;

import java.util.Objects;
import java.util.function.Supplier;
import org.quetzalscale.core.route.InstanceLoad;

/**
 * Callbacks by which other parts of the daemon exchange data with other instances.
 *
 * @param ownLoad this instance's running and waiting requests
 * @param loads receives the load reports of other instances
 * @param jobWake runs when another instance accepted a job
 */
public record SiblingHooks(Supplier<InstanceLoad> ownLoad, LoadListener loads, Runnable jobWake) {
    /** Hooks that do nothing. */
    public static final SiblingHooks NONE =
            new SiblingHooks(() -> InstanceLoad.NONE, (sibling, load) -> {}, () -> {});

    /** Checks that no callback is null. */
    public SiblingHooks {
        Objects.requireNonNull(ownLoad, "ownLoad");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(jobWake, "jobWake");
    }
}
