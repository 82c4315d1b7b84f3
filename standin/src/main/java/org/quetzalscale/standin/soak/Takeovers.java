package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/** Changes of the owner, with what their nodes log and the workers see afterwards. Thread-safe. */
final class Takeovers {
    /**
     * A change of the owner.
     *
     * @param at when the new owner's row was written, in seconds
     * @param releasedAt when it logged that the recovered jobs are released; infinite if not
     * @param releaseLine that log line
     */
    record Takeover(String node, double at, double releasedAt, String releaseLine) {
        private boolean isReleased() {
            return !Double.isInfinite(releasedAt);
        }
    }

    private final List<Takeover> all = new ArrayList<>();

    synchronized void onOwner(String node, double at) {
        all.add(new Takeover(node, at, Double.POSITIVE_INFINITY, ""));
    }

    /** Notes that the node has released the recovered jobs of its last term. */
    synchronized void onReleased(String node, double at, String line) {
        for (int i = all.size() - 1; i >= 0; i--) {
            Takeover takeover = all.get(i);
            if (takeover.node().equals(node)) {
                if (!takeover.isReleased()) {
                    all.set(i, new Takeover(node, takeover.at(), at, line));
                }
                return;
            }
        }
    }

    /** A line for each change, with the times until the first start and the release. */
    synchronized List<String> describe(List<Run> runs) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            Takeover takeover = all.get(i);
            double until = i + 1 < all.size() ? all.get(i + 1).at() : Double.POSITIVE_INFINITY;
            OptionalDouble firstStart =
                    runs.stream()
                            .filter(run -> run.caller().equals(takeover.node()) && !run.late())
                            .mapToDouble(Run::start)
                            .filter(start -> start >= takeover.at() && start < until)
                            .min();
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%8.3f owner %s until %.3f: first start after %s, released after %s %s",
                            takeover.at(),
                            takeover.node(),
                            until,
                            firstStart.isPresent()
                                    ? seconds(firstStart.getAsDouble() - takeover.at())
                                    : "-",
                            takeover.isReleased()
                                    ? seconds(takeover.releasedAt() - takeover.at())
                                    : "-",
                            takeover.releaseLine()));
        }
        return lines;
    }

    private static String seconds(double value) {
        return String.format(Locale.ROOT, "%.3f s", value);
    }
}
