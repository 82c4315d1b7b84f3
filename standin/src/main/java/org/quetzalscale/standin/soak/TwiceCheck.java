package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Finds tasks that ran twice in a record of runs. */
final class TwiceCheck {
    /**
     * What was found.
     *
     * @param violations overlapping runs, and starts after an acknowledged end "done"
     * @param permitted starts after an end "done" that never was acknowledged under its lease
     */
    record Result(List<Violation> violations, List<String> permitted) {
        Result {
            violations = List.copyOf(violations);
            permitted = List.copyOf(permitted);
        }
    }

    private final List<Violation> violations = new ArrayList<>();
    private final List<String> permitted = new ArrayList<>();

    private TwiceCheck() {}

    static Result check(List<Run> runs) {
        TwiceCheck check = new TwiceCheck();
        Map<String, List<Run>> byTask = runs.stream().collect(Collectors.groupingBy(Run::task));
        byTask.values().forEach(check::checkTask);
        return new Result(check.violations, check.permitted);
    }

    private void checkTask(List<Run> runs) {
        List<Run> sorted = runs.stream().sorted(Comparator.comparingDouble(Run::start)).toList();
        for (int i = 0; i < sorted.size(); i++) {
            for (Run later : sorted.subList(i + 1, sorted.size())) {
                checkPair(sorted.get(i), later);
            }
        }
    }

    private void checkPair(Run earlier, Run later) {
        if (later.start() < earlier.end()) {
            double overlap = Math.min(earlier.end(), later.end()) - later.start();
            violations.add(
                    Violation.of(
                            Violation.Rule.OVERLAP,
                            String.format(Locale.ROOT, "%s: %.3f s", earlier.task(), overlap),
                            earlier,
                            later));
        } else if (earlier.isDone() && earlier.isEndNoted()) {
            violations.add(
                    Violation.of(
                            Violation.Rule.START_AFTER_END,
                            String.format(
                                    Locale.ROOT,
                                    "%s: %.3f s after the end",
                                    earlier.task(),
                                    later.start() - earlier.end()),
                            earlier,
                            later));
        } else if (earlier.isDone()) {
            permitted.add(earlier + "; then " + later);
        }
    }
}
