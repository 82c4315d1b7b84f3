package org.quetzalscale.core.retry;

import java.util.List;

/**
 * The outcome in an intent's row.
 *
 * @param headers alternating names and values, in order
 * @param body the body, or null if it is an object or was too large to keep
 * @param object name of the object with the body, or null
 */
public record StoredOutcome(int status, List<String> headers, byte[] body, String object) {
    /** Copies the headers. */
    public StoredOutcome {
        headers = List.copyOf(headers);
    }
}
