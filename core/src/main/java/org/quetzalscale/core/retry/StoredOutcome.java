package org.quetzalscale.core.retry;

import java.util.List;

/**
 * The stored form of a {@link RecordedOutcome} in an intent's row.
 *
 * @param headers alternating names and values, in order
 * @param body the body, or null if it is stored as an object or was too large to keep
 * @param object name of the object that contains the body, or null
 */
public record StoredOutcome(int status, List<String> headers, byte[] body, String object) {
    /** Copies the headers. */
    public StoredOutcome {
        headers = List.copyOf(headers);
    }
}
