package org.quetzalscale.standin.target;

/**
 * One request that took a slot.
 *
 * @param requestId value of the request id header, or empty
 * @param team value of the team header, or empty
 * @param startedMillis when it took the slot, in ms since 1970
 * @param endedMillis when it left the slot, in ms since 1970, or 0 while it runs
 * @param received whether the whole request arrived, without which nothing is run
 * @param answered whether the whole answer was written to the connection
 */
public record Execution(
        String requestId,
        String team,
        String method,
        String path,
        long startedMillis,
        long endedMillis,
        boolean received,
        boolean answered) {
    Execution withReceived() {
        return new Execution(
                requestId, team, method, path, startedMillis, endedMillis, true, answered);
    }

    Execution ended(long nowMillis, boolean wasAnswered) {
        return new Execution(
                requestId, team, method, path, startedMillis, nowMillis, received, wasAnswered);
    }
}
