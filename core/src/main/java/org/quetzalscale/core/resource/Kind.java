package org.quetzalscale.core.resource;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of resource. */
public enum Kind {
    /** Teams with their share and upper limit. */
    TEAMS("teams"),
    /** Keys of teams. */
    KEYS("keys"),
    /** Pools of workers with their availability budget. */
    POOLS("pools"),
    /** Workers. */
    WORKERS("workers"),
    /** Queues to which callers send requests. */
    QUEUES("queues"),
    /** Maintenance waves. */
    WAVES("waves"),
    /** Settings of a whole deployment. */
    DEPLOYMENTS("deployments"),
    /** Pool and phase of each worker; written by the system, not by operators. */
    ASSIGNMENTS("assignments");

    private final String path;

    Kind(String path) {
        this.path = path;
    }

    /** The kind's segment in URLs and row keys. */
    public String path() {
        return path;
    }

    /** The kind with this segment. */
    public static Optional<Kind> ofPath(String path) {
        return Arrays.stream(values()).filter(kind -> kind.path.equals(path)).findFirst();
    }
}
