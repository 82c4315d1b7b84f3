package org.quetzalscale.daemon.target;

import java.util.Objects;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Limits of the connections to targets.
 *
 * @param maxConnections connections to one target; above it, opening a connection closes an idle
 *     one
 * @param idleMillis longest idle time after which a connection is still reused, in milliseconds
 * @param connectMillis time limit for opening a connection, in milliseconds
 * @param maxHeaderBytes largest size in bytes of the status line and of all headers of an answer,
 *     each
 */
public record TargetLimits(
        int maxConnections, int idleMillis, int connectMillis, int maxHeaderBytes) {
    private static final TargetLimits DEFAULTS = new TargetLimits(8, 2_000, 1_000, 64 << 10);

    /** Checks the ranges; throws INVALID_SETTING. */
    public TargetLimits {
        requirePositive("maxConnections", maxConnections);
        requirePositive("idleMillis", idleMillis);
        requirePositive("connectMillis", connectMillis);
        requirePositive("maxHeaderBytes", maxHeaderBytes);
    }

    /** The default limits: 8 connections to a target, none reused after 2 s idle. */
    public static TargetLimits defaults() {
        return DEFAULTS;
    }

    private static void requirePositive(String name, int value) {
        Objects.requireNonNull(name, "name");
        if (value <= 0) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_SETTING, name, name + " " + value + " is not above 0");
        }
    }
}
