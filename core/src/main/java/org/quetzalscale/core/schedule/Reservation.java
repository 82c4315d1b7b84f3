package org.quetzalscale.core.schedule;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Workers and times at which the waiting tasks of a step are expected to fit.
 *
 * @param promisedMillis when the first task was expected to start as the reservation was made, also
 *     if it was planned again since
 * @param slots one for each task, by ascending time
 */
record Reservation(StepRun step, long promisedMillis, List<Slot> slots) {
    /** The place of a task. */
    record Slot(WorkerState worker, long atMillis) {}

    Reservation {
        slots = List.copyOf(slots);
    }

    /** The reservation for the given number of tasks or less. */
    Reservation limitedTo(int tasks) {
        return slots.size() <= tasks
                ? this
                : new Reservation(step, promisedMillis, slots.subList(0, tasks));
    }

    /** The reservation after a task has started on the worker, which may be any. */
    Reservation withoutTaskOn(WorkerState worker) {
        int used = slots.size() - 1;
        for (int index = 0; index < slots.size(); index++) {
            if (slots.get(index).worker() == worker) {
                used = index;
                break;
            }
        }
        int skipped = used;
        List<Slot> left =
                IntStream.range(0, slots.size())
                        .filter(index -> index != skipped)
                        .mapToObj(slots::get)
                        .toList();
        return new Reservation(step, promisedMillis, left);
    }
}
