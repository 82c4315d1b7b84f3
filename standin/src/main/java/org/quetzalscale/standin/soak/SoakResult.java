package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What a soak has shown.
 *
 * @param violations broken rules
 * @param permitted tasks that ran again after an end that was never acknowledged under its lease
 * @param takeovers a line for each change of the owner
 * @param figures named counts
 */
public record SoakResult(
        List<Violation> violations,
        List<String> permitted,
        List<String> takeovers,
        Map<String, Long> figures) {
    /** Copies the lists. */
    public SoakResult {
        violations = List.copyOf(violations);
        permitted = List.copyOf(permitted);
        takeovers = List.copyOf(takeovers);
        figures = Map.copyOf(figures);
    }

    /** Whether no rule was broken. */
    public boolean held() {
        return violations.isEmpty();
    }

    /** The report as lines of text. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        new TreeMap<>(figures).forEach((name, count) -> lines.add(name + ": " + count));
        lines.add("done twice, permitted: " + permitted.size());
        permitted.forEach(line -> lines.add("    " + line));
        lines.add("changes of the owner: " + takeovers.size());
        takeovers.forEach(line -> lines.add("    " + line));
        Map<Violation.Rule, Long> counts =
                violations.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Violation::rule, TreeMap::new, Collectors.counting()));
        lines.add("violations: " + (counts.isEmpty() ? "none" : counts));
        for (Violation violation : violations) {
            lines.add("  " + violation.rule() + " " + violation.summary());
            violation.evidence().forEach(line -> lines.add("    " + line));
        }
        return lines;
    }
}
