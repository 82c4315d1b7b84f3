package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StepProgress;

/**
 * The rows that hold the progress of jobs. A job has one row; if that would exceed the size of a
 * row, its steps move to rows of {@link #TASKS_PER_ROW} tasks each. A task stays in its row from
 * then on: rows that are written one after the other never leave it out of all of them, and the end
 * of a task changes one row of a job of thousands.
 */
final class ProgressRows {
    /** Few enough for a row with a long checkpoint and many failed runs of each task. */
    static final int TASKS_PER_ROW = 64;

    /** A longer checkpoint is not recorded: after a change of owner its task starts without it. */
    static final int MAX_CHECKPOINT_CHARS = 256;

    /** The text of a row that an earlier owner wrote. */
    private static final String UNKNOWN_TEXT = "";

    private final TableLimits limits;

    /** The rows of split jobs with the texts last written, by the job's row of progress. */
    private final Map<RowKey, Map<RowKey, String>> written = new HashMap<>();

    ProgressRows(TableLimits limits) {
        this.limits = limits;
    }

    /** Adds the rows of a split job that an earlier owner wrote. */
    void addRecorded(RowKey main, Set<RowKey> ranges) {
        Map<RowKey, String> rows = written.computeIfAbsent(main, key -> new HashMap<>());
        ranges.forEach(range -> rows.put(range, UNKNOWN_TEXT));
    }

    /** Writes all rows of the job with its next change, because some may not have been written. */
    void forgetTexts(RowKey main) {
        Map<RowKey, String> rows = written.get(main);
        if (rows != null) {
            rows.replaceAll((key, text) -> UNKNOWN_TEXT);
        }
    }

    /**
     * The rows to change, in the order in which they have to be committed: what a new owner reads
     * between two of them shows each recorded end. New ranges precede the row of the job, which no
     * longer has their tasks; ranges that are no longer needed follow it.
     *
     * @param main the job's row of progress
     */
    List<Mutation> changes(JobProgress progress, RowKey main) {
        if (progress.phase().isFinal()) {
            return finalChanges(progress);
        }
        if (!written.containsKey(main)) {
            String text = JobRowCodecs.PROGRESS.encode(progress);
            if (limits.fitsRow(text)) {
                return List.of(Mutation.put(main, text));
            }
            written.put(main, new HashMap<>());
        }
        return splitChanges(progress, main);
    }

    private List<Mutation> finalChanges(JobProgress progress) {
        JobId job = progress.job();
        List<Mutation> changes = new ArrayList<>();
        changes.add(Mutation.put(FleetRows.progress(job), JobRowCodecs.PROGRESS.encode(progress)));
        for (RowKey main :
                List.of(FleetRows.progress(job), FleetRows.progressWhileUnreadable(job))) {
            Map<RowKey, String> rows = written.remove(main);
            if (rows != null) {
                rows.remove(main);
                rows.keySet().forEach(key -> changes.add(Mutation.delete(key)));
            }
        }
        return changes;
    }

    private List<Mutation> splitChanges(JobProgress progress, RowKey main) {
        Map<RowKey, String> texts = rangeTexts(progress, main);
        texts.put(main, JobRowCodecs.encodeWithoutSteps(progress));
        Map<RowKey, String> before = written.put(main, texts);
        List<Mutation> changes = new ArrayList<>();
        texts.forEach(
                (key, text) -> {
                    if (!text.equals(before.get(key))) {
                        changes.add(Mutation.put(key, text));
                    }
                });
        before.keySet().stream()
                .filter(key -> !texts.containsKey(key))
                .forEach(key -> changes.add(Mutation.delete(key)));
        return changes;
    }

    /** The rows of ranges of tasks, in the order of their tasks. */
    private static Map<RowKey, String> rangeTexts(JobProgress progress, RowKey main) {
        Map<RowKey, String> texts = new LinkedHashMap<>();
        for (StepProgress step : progress.steps()) {
            ranges(step)
                    .forEach(
                            (range, part) -> {
                                RowKey key =
                                        FleetRows.progressOfTasks(
                                                main, step.occurrence(), step.step(), range);
                                texts.put(key, encodeRange(progress, part));
                            });
        }
        return texts;
    }

    private static String encodeRange(JobProgress progress, StepProgress range) {
        return JobRowCodecs.PROGRESS.encode(
                new JobProgress(progress.job(), progress.phase(), List.of(range)));
    }

    /** The ranges of a step's tasks of which something is recorded, by their number. */
    private static Map<Integer, StepProgress> ranges(StepProgress step) {
        Map<Integer, StepProgress> ranges = new TreeMap<>();
        step.done().stream().forEach(index -> rangeOf(index, step, ranges));
        step.failures().keySet().forEach(index -> rangeOf(index, step, ranges));
        step.crashes().keySet().forEach(index -> rangeOf(index, step, ranges));
        step.checkpoints().keySet().forEach(index -> rangeOf(index, step, ranges));
        return ranges;
    }

    private static void rangeOf(int index, StepProgress step, Map<Integer, StepProgress> ranges) {
        ranges.computeIfAbsent(index / TASKS_PER_ROW, range -> part(step, range));
    }

    private static StepProgress part(StepProgress step, int range) {
        int from = range * TASKS_PER_ROW;
        BitSet done = new BitSet();
        Map<Integer, Set<Long>> failures = new HashMap<>();
        Map<Integer, Set<Long>> crashes = new HashMap<>();
        Map<Integer, String> checkpoints = new HashMap<>();
        for (int index = from; index < from + TASKS_PER_ROW; index++) {
            done.set(index, step.done().get(index));
            copyEntry(index, step.failures(), failures);
            copyEntry(index, step.crashes(), crashes);
            String checkpoint = step.checkpoints().getOrDefault(index, "");
            if (!checkpoint.isEmpty() && checkpoint.length() <= MAX_CHECKPOINT_CHARS) {
                checkpoints.put(index, checkpoint);
            }
        }
        return new StepProgress(
                step.occurrence(), step.step(), done, failures, crashes, checkpoints);
    }

    private static <T> void copyEntry(int index, Map<Integer, T> from, Map<Integer, T> to) {
        T value = from.get(index);
        if (value != null) {
            to.put(index, value);
        }
    }
}
