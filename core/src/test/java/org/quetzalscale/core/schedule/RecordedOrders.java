package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;

/** Records the orders that a scheduler sends. */
final class RecordedOrders implements OrderSender {
    record Start(WorkerId worker, StartOrder order) {}

    record Stop(WorkerId worker, TaskRef task, long run) {}

    record Pace(WorkerId worker, TaskRef task, int percent) {}

    final List<Start> starts = new ArrayList<>();
    final List<Stop> stops = new ArrayList<>();
    final List<Pace> paces = new ArrayList<>();

    @Override
    public void start(WorkerId worker, StartOrder order) {
        starts.add(new Start(worker, order));
    }

    @Override
    public void stop(WorkerId worker, TaskRef task, long run) {
        stops.add(new Stop(worker, task, run));
    }

    @Override
    public void pace(WorkerId worker, TaskRef task, long run, int percent) {
        paces.add(new Pace(worker, task, percent));
    }

    /** Returns the most recent start. */
    Start lastStart() {
        return starts.get(starts.size() - 1);
    }
}
