package org.quetzalscale.daemon.caller;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Limits of the caller port.
 *
 * @param maxConnections open connections of callers; a further one is answered QUEUE_FULL and
 *     closed
 * @param maxHeaderBytes largest size of the request line and of all headers, each
 * @param headMillis time from the first byte of a request to the end of its headers
 * @param idleMillis time that a connection may stay idle between requests
 * @param keptBodyBytes largest body without an idempotency key that is buffered for a retry
 * @param keyedBodyBytes largest body of a request with an idempotency key
 * @param bufferBudgetBytes limit on all buffered bodies and on answers that are being recorded
 * @param drainDelayMillis time after the start of a drain during which new connections are accepted
 * @param drainBoundMillis time after the start of a drain that running requests have to end
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

    /** The default limits. */
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
