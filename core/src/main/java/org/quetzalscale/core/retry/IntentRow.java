package org.quetzalscale.core.retry;

import java.util.Objects;

/**
 * The row {@code intent/<team>/<hash of the key>}: a request that may run once.
 *
 * @param attempt identifier of the attempt that inserted the row
 * @param holder instance that runs the attempt
 * @param fingerprint hash of the request, which a reuse of the key must match
 * @param startedWallMillis wall-clock time of the insert, in milliseconds since 1970
 * @param outcome the outcome, or null while it is not recorded
 */
public record IntentRow(
        String attempt,
        String holder,
        String fingerprint,
        long startedWallMillis,
        StoredOutcome outcome) {
    /** Requires all parts but the outcome. */
    public IntentRow {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    /** The row with its outcome. */
    IntentRow with(StoredOutcome recorded) {
        return new IntentRow(attempt, holder, fingerprint, startedWallMillis, recorded);
    }
}
