package org.quetzalscale.core.retry;

import java.util.List;
import java.util.Objects;

/**
 * The answer of a request that ran, kept for its retries.
 *
 * @param headers alternating names and values, in order
 * @param body the whole body; null if it was larger than what is kept
 */
public record RecordedOutcome(int status, List<String> headers, byte[] body) {
    /** Largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 8 << 20;

    /** Copies the headers. */
    public RecordedOutcome {
        headers = List.copyOf(Objects.requireNonNull(headers, "headers"));
    }
}
