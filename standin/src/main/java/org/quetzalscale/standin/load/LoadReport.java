package org.quetzalscale.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The results of a load run.
 *
 * @param seed seed of the arrivals
 * @param durationMillis time in which requests arrived, in ms
 * @param latestSendMillis most that a request was sent after its arrival, in ms; latencies include
 *     that time
 */
public record LoadReport(
        long seed,
        long durationMillis,
        double latestSendMillis,
        Group total,
        List<Group> queues,
        List<Group> teams) {
    private static final String ROW = "%-24s %9s %9s %8s %8s %8s %8s %8s %9s %9s %9s %9s%n";

    /** Copies the lists. */
    public LoadReport {
        queues = List.copyOf(queues);
        teams = List.copyOf(teams);
    }

    /**
     * The results of one queue, one team or all.
     *
     * @param errors answers by error code
     * @param onTime requests that ended OK within their deadline
     * @param onTimeShare the same as a share of all requests
     * @param goodput the same per second of the run
     * @param p50Millis median latency of requests that ended OK, in ms; so the others
     */
    public record Group(
            String name,
            long requests,
            Map<LoadOutcome, Long> outcomes,
            Map<String, Long> errors,
            long onTime,
            double onTimeShare,
            double goodput,
            double p50Millis,
            double p99Millis,
            double p999Millis,
            double maxMillis) {}

    /** The results as a table of text, one line a group. */
    public String toTable() {
        StringBuilder table = new StringBuilder();
        table.append(
                ROW.formatted(
                        "group",
                        "requests",
                        "ok",
                        "not-run",
                        "unknown",
                        "error",
                        "wrong",
                        "lost",
                        "on-time",
                        "p50 ms",
                        "p99 ms",
                        "max ms"));
        List<Group> groups = new ArrayList<>();
        groups.add(total);
        groups.addAll(queues);
        groups.addAll(teams);
        groups.forEach(group -> table.append(row(group)));
        table.append(
                String.format(
                        Locale.ROOT,
                        "goodput %.1f/s, latest send %.1f ms, seed %d%n",
                        total.goodput(),
                        latestSendMillis,
                        seed));
        return table.toString();
    }

    private static String row(Group group) {
        Map<LoadOutcome, Long> outcomes = group.outcomes();
        long lost =
                outcomes.getOrDefault(LoadOutcome.NO_ANSWER, 0L)
                        + outcomes.getOrDefault(LoadOutcome.NOT_SENT, 0L);
        return ROW.formatted(
                group.name(),
                group.requests(),
                outcomes.getOrDefault(LoadOutcome.OK, 0L),
                outcomes.getOrDefault(LoadOutcome.NOT_RUN, 0L),
                outcomes.getOrDefault(LoadOutcome.UNKNOWN, 0L),
                outcomes.getOrDefault(LoadOutcome.ERROR, 0L),
                outcomes.getOrDefault(LoadOutcome.WRONG, 0L),
                lost,
                String.format(Locale.ROOT, "%.2f%%", group.onTimeShare() * 100),
                decimal(group.p50Millis()),
                decimal(group.p99Millis()),
                decimal(group.maxMillis()));
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
