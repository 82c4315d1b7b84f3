package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;

/** All runs as the workers saw them. Thread-safe. */
final class RunRecord {
    /** A run while it is being recorded. */
    static final class Entry {
        private final Run started;
        private double end = Double.POSITIVE_INFINITY;
        private String how = "";
        private double acknowledged = Double.POSITIVE_INFINITY;
        private boolean lapsed;

        private Entry(Run started) {
            this.started = started;
        }

        private Run toRun() {
            return new Run(
                    started.task(),
                    started.number(),
                    started.worker(),
                    started.caller(),
                    started.late(),
                    started.start(),
                    end,
                    how,
                    acknowledged,
                    lapsed);
        }
    }

    private final Timeline timeline;
    private final List<Entry> entries = new ArrayList<>();

    RunRecord(Timeline timeline) {
        this.timeline = timeline;
    }

    synchronized Entry started(
            String task, long number, String worker, String caller, boolean late) {
        double infinite = Double.POSITIVE_INFINITY;
        Run run =
                new Run(
                        task,
                        number,
                        worker,
                        caller,
                        late,
                        timeline.seconds(),
                        infinite,
                        "",
                        infinite,
                        false);
        Entry entry = new Entry(run);
        entries.add(entry);
        timeline.add(
                "%s: start %s run %d by %s%s", worker, task, number, caller, late ? " late" : "");
        return entry;
    }

    synchronized void ended(Entry entry, String how, double seconds) {
        entry.end = seconds;
        entry.how = how;
        Run run = entry.started;
        timeline.add("%s: end %s run %d %s", run.worker(), run.task(), run.number(), how);
    }

    /** Notes that the worker's lease expired after the end, unless it was acknowledged before. */
    synchronized void lapsed(Entry entry) {
        if (Double.isInfinite(entry.acknowledged)) {
            entry.lapsed = true;
        }
    }

    synchronized void acknowledged(Entry entry, String caller) {
        if (!Double.isInfinite(entry.acknowledged)) {
            return;
        }
        entry.acknowledged = timeline.seconds();
        Run run = entry.started;
        timeline.add(
                "%s: ack %s run %d by %s%s",
                run.worker(),
                run.task(),
                run.number(),
                caller,
                entry.lapsed ? " after a lapse" : "");
    }

    synchronized List<Run> runs() {
        return entries.stream().map(Entry::toRun).toList();
    }
}
