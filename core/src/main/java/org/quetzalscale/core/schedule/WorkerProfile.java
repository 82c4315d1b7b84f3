package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.quetzalscale.core.share.Resources;

/** The expected free capacity of a worker over time, less what is reserved there. */
final class WorkerProfile {
    /**
     * Resources that a step will use on the worker.
     *
     * @param untilMillis expected end of the use, or {@link RunForecast#NEVER}
     */
    record Claim(Resources need, long fromMillis, long untilMillis) {}

    /** From this time on, the free capacity is greater by the amount, which may be negative. */
    private record Change(long atMillis, Resources amount) {}

    private final Resources freeNow;
    private final List<Change> changes = new ArrayList<>();

    WorkerProfile(WorkerState worker, List<Claim> claims, RunForecast forecast, long nowMillis) {
        Resources free = worker.entry.capacity().minus(worker.used);
        for (TrackedTask task : worker.tasks.values()) {
            addChange(forecast.endMillis(task, nowMillis), task.step.definition.reserved());
        }
        for (Resources orphaned : worker.orphanedRuns.values()) {
            free = free.minus(orphaned);
            addChange(RunForecast.orphanEndMillis(nowMillis), orphaned);
        }
        for (Claim claim : claims) {
            addChange(claim.fromMillis(), claim.need().times(-1));
            addChange(claim.untilMillis(), claim.need());
        }
        freeNow = free;
        changes.sort(Comparator.comparingLong(Change::atMillis));
    }

    /**
     * The earliest time from which the need is free for the whole run, or {@link
     * RunForecast#NEVER}.
     */
    long earliestFit(Resources need, long notBeforeMillis, long runMillis) {
        Resources free = freeNow;
        int next = 0;
        while (next < changes.size() && changes.get(next).atMillis() <= notBeforeMillis) {
            free = free.plus(changes.get(next).amount());
            next++;
        }
        long start = need.fitsIn(free) ? notBeforeMillis : RunForecast.NEVER;
        while (next < changes.size()) {
            long at = changes.get(next).atMillis();
            if (start != RunForecast.NEVER && at - start >= runMillis) {
                return start;
            }
            while (next < changes.size() && changes.get(next).atMillis() == at) {
                free = free.plus(changes.get(next).amount());
                next++;
            }
            if (!need.fitsIn(free)) {
                start = RunForecast.NEVER;
            } else if (start == RunForecast.NEVER) {
                start = at;
            }
        }
        return start;
    }

    private void addChange(long atMillis, Resources amount) {
        if (atMillis != RunForecast.NEVER) {
            changes.add(new Change(atMillis, amount));
        }
    }
}
