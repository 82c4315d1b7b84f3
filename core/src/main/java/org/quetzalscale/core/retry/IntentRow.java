package org.quetzalscale.core.retry;

import java.util.Objects;

/**
 * The row {@code intent/<team>/<hash of the key>} of a request with an idempotency key.
 *
 * @param attempt identifier of the attempt that inserted the row
 * @param holder instance that runs the attempt
 * @param fingerprint hash of the request, which must be the same for each use of the key
 * @param startedWallMillis wall-clock time of the insert, in milliseconds since 1970
 * @param outcome the outcome, or null until it is recorded
 */
public record IntentRow(
        String attempt,
        String holder,
        String fingerprint,
        long startedWallMillis,
        StoredOutcome outcome) {
    /** Rejects null components except for the outcome. */
    public IntentRow {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    /** A copy of the row with an outcome. */
    IntentRow withOutcome(StoredOutcome recorded) {
        return new IntentRow(attempt, holder, fingerprint, startedWallMillis, recorded);
    }
}
