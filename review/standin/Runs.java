package review;

import java.util.ArrayList;
import java.util.List;

/** All runs that the workers have begun. */
final class Runs {
    static final class Entry {
        final String task;
        final long run;
        final String worker;
        final double start;
        double end = Double.NaN;
        String how = "";

        Entry(String task, long run, String worker, double start) {
            this.task = task;
            this.run = run;
            this.worker = worker;
            this.start = start;
        }

        boolean isRunning() {
            return Double.isNaN(end);
        }
    }

    private final Record record;
    private final List<Entry> entries = new ArrayList<>();

    /** Whether each start and end is written to the record. */
    volatile boolean verbose = true;

    Runs(Record record) {
        this.record = record;
    }

    synchronized Entry started(String task, long run, String worker) {
        Entry entry = new Entry(task, run, worker, record.seconds());
        entries.add(entry);
        if (verbose) {
            record.line("worker %s: starts %s run %d", worker, task, run);
        }
        return entry;
    }

    synchronized void ended(Entry entry, String how) {
        entry.end = record.seconds();
        entry.how = how;
        if (verbose) {
            record.line("worker %s: %s run %d ends %s", entry.worker, entry.task, entry.run, how);
        }
    }

    synchronized List<Entry> of(String taskPrefix) {
        return entries.stream().filter(entry -> entry.task.startsWith(taskPrefix)).toList();
    }
}
