package org.quetzalscale.core.retry;

import java.util.List;
import java.util.Objects;

/**
 * The response to a request that ran, kept for retries with the same idempotency key.
 *
 * @param headers alternating names and values, in order
 * @param body the whole body, or null if it exceeds {@link #MAX_BODY_BYTES}
 */
public record RecordedOutcome(int status, List<String> headers, byte[] body) {
    /** Size of the largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 8 << 20;

    /** Copies the headers. */
    public RecordedOutcome {
        headers = List.copyOf(Objects.requireNonNull(headers, "headers"));
    }
}
