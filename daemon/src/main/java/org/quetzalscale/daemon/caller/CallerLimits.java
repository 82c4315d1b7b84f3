package org.quetzalscale.daemon.caller;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Limits of the caller port.
 *
 * @param maxConnections connections of callers; one more is answered QUEUE_FULL and closed
 * @param maxHeaderBytes largest request line, and largest headers
 * @param headMillis time from the first byte of a request to the end of its headers
 * @param idleMillis time that a connection may wait for a request
 * @param keptBodyBytes largest body that is kept for sending it to another target
 * @param keyedBodyBytes largest body of a request with an idempotency key
 * @param bufferBudgetBytes what all kept bodies and answers being recorded may hold together
 * @param drainDelayMillis how long new connections are taken after the drain began
 * @param drainBoundMillis how long running requests may go on after the drain began
 */
public record CallerLimits(
        int maxConnections,
        int maxHeaderBytes,
        int headMillis,
        int idleMillis,
        int keptBodyBytes,
        int keyedBodyBytes,
        int bufferBudgetBytes,
        int drainDelayMillis,
        int drainBoundMillis) {
    private static final CallerLimits DEFAULTS =
            new CallerLimits(
                    2_048, 16 << 10, 10_000, 60_000, 64 << 10, 8 << 20, 128 << 20, 5_000, 60_000);

    /** Checks the ranges; throws INVALID_SETTING. */
    public CallerLimits {
        requirePositive("maxConnections", maxConnections);
        requirePositive("maxHeaderBytes", maxHeaderBytes);
        requirePositive("headMillis", headMillis);
        requirePositive("idleMillis", idleMillis);
        requirePositive("keptBodyBytes", keptBodyBytes);
        requirePositive("keyedBodyBytes", keyedBodyBytes);
        requirePositive("bufferBudgetBytes", bufferBudgetBytes);
        requirePositive("drainDelayMillis", drainDelayMillis);
        requirePositive("drainBoundMillis", drainBoundMillis);
    }

    /** The limits of the design page. */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }

    private static void requirePositive(String name, int value) {
        if (value <= 0) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_SETTING, name, name + " " + value + " is not above 0");
        }
    }
}
