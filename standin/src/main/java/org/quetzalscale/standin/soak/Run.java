package org.quetzalscale.standin.soak;

import java.util.Locale;

/**
 * One run of a task as its worker saw it. Times are seconds since the start of the soak.
 *
 * @param number the run number of the order that started it
 * @param worker the worker's id and the time of its start
 * @param caller the node that sent the order; "?" if it is not known
 * @param late whether the worker carried the order out after its answer was given up
 * @param end when it ended; infinite while it runs
 * @param how the kind of end; empty while it runs
 * @param acknowledged when the end was first acknowledged; infinite if it never was
 * @param lapsed whether the worker's lease expired between the end and its acknowledgement
 */
record Run(
        String task,
        long number,
        String worker,
        String caller,
        boolean late,
        double start,
        double end,
        String how,
        double acknowledged,
        boolean lapsed) {
    private static final String DONE = "done";

    /** The job of the task: the first part of its name. */
    String job() {
        return task.substring(0, task.indexOf('.'));
    }

    boolean isDone() {
        return how.equals(DONE);
    }

    /** Whether the end was acknowledged, with the lease held from the end until then. */
    boolean isEndNoted() {
        return !Double.isInfinite(acknowledged) && !lapsed;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s run %d on %s by %s%s: %.3f to %.3f %s, acknowledged %.3f%s",
                task,
                number,
                worker,
                caller,
                late ? " (late)" : "",
                start,
                end,
                how,
                acknowledged,
                lapsed ? " after a lapse" : "");
    }
}
