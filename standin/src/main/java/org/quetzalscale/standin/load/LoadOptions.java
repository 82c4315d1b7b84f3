package org.quetzalscale.standin.load;

import java.net.InetSocketAddress;
import java.util.List;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * What to send.
 *
 * @param addresses where to send, in turn; loopback only
 * @param teams teams, of which the first sends most
 * @param queues queues, which burst in turn
 * @param path path of each request, in which {@code {queue}}, {@code {ms}} and {@code {size}} are
 *     replaced
 * @param seed seed of the arrivals; the same seed gives the same arrivals
 * @param durationMillis time in which requests arrive, in ms
 * @param warmupMillis time from the start whose arrivals are sent but not recorded, in ms
 * @param maxRequests bound on the number of requests
 * @param maxInFlight requests in flight above which an arrival is not sent but counted
 * @param meanRate mean arrivals per second on each queue
 * @param burstMillis length of a burst, in ms; 0 for a constant rate
 * @param serviceMillis mean of the exponential time that a request asks for, in ms
 * @param sizeBytes size of each answer that a request asks for
 * @param postShare share of requests sent by POST, which are not idempotent
 * @param keyedShare share of the POST requests that carry an idempotency key
 * @param deadlineMillis time limit from a request's arrival, in ms
 */
public record LoadOptions(
        List<InetSocketAddress> addresses,
        List<Team> teams,
        List<String> queues,
        String path,
        long seed,
        long durationMillis,
        long warmupMillis,
        int maxRequests,
        int maxInFlight,
        double meanRate,
        long burstMillis,
        double serviceMillis,
        int sizeBytes,
        double postShare,
        double keyedShare,
        int deadlineMillis) {
    private static final long MAX_DURATION_MILLIS = 3_600_000;
    private static final int MAX_REQUESTS = 2_000_000;
    private static final int MAX_DEADLINE_MILLIS = 60_000;

    /**
     * A team that sends.
     *
     * @param key the key that its requests carry, or empty
     */
    public record Team(String name, String key) {}

    /**
     * Checks every part.
     *
     * @throws QuetzalscaleException INVALID_FIELD if a part is out of its range
     */
    public LoadOptions {
        addresses = List.copyOf(addresses);
        teams = List.copyOf(teams);
        queues = List.copyOf(queues);
        require(!addresses.isEmpty(), "addresses", "at least one address is needed");
        for (InetSocketAddress address : addresses) {
            require(
                    address.getAddress() != null && address.getAddress().isLoopbackAddress(),
                    "addresses",
                    address + " is not a loopback address");
        }
        require(!teams.isEmpty(), "teams", "at least one team is needed");
        require(!queues.isEmpty(), "queues", "at least one queue is needed");
        require(path.startsWith("/"), "path", "\"" + path + "\" does not start with /");
        requireWithin("durationMillis", durationMillis, 1, MAX_DURATION_MILLIS);
        requireWithin("warmupMillis", warmupMillis, 0, durationMillis - 1);
        requireWithin("maxRequests", maxRequests, 1, MAX_REQUESTS);
        requireWithin("maxInFlight", maxInFlight, 1, MAX_REQUESTS);
        requireWithin("burstMillis", burstMillis, 0, MAX_DURATION_MILLIS);
        requireWithin("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
        requireWithin("postShare", postShare, 0, 1);
        requireWithin("keyedShare", keyedShare, 0, 1);
        require(meanRate > 0, "meanRate", meanRate + " is not positive");
        require(serviceMillis >= 0, "serviceMillis", serviceMillis + " is negative");
        require(sizeBytes >= 0, "sizeBytes", sizeBytes + " is negative");
    }

    private static void requireWithin(String field, double value, double least, double most) {
        require(
                value >= least && value <= most,
                field,
                value + " is not within " + least + " to " + most);
    }

    private static void require(boolean holds, String field, String message) {
        if (!holds) {
            throw new QuetzalscaleException(ErrorKind.INVALID_FIELD, field, field + ": " + message);
        }
    }
}
