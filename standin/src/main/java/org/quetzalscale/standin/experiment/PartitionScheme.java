package org.quetzalscale.standin.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Slots dealt out: each instance has one slot of each worker and its own queue. */
final class PartitionScheme implements SlotScheme {
    private final SlotModel model;
    private final List<Deque<ModelRequest>> queues = new ArrayList<>();
    private final boolean[][] busy = new boolean[SlotModel.INSTANCES][SlotModel.WORKERS];

    PartitionScheme(SlotModel model) {
        this.model = model;
        for (int i = 0; i < SlotModel.INSTANCES; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    @Override
    public void arrive(int instance, ModelRequest request) {
        queues.get(instance).add(request);
        dispatch(instance);
    }

    @Override
    public void die(int instance) {
        model.tally.lost(queues.get(instance).size());
        queues.get(instance).clear();
        for (boolean slot : busy[instance]) {
            model.tally.lost(slot ? 1 : 0);
        }
    }

    private void dispatch(int instance) {
        for (int worker = 0; worker < SlotModel.WORKERS; worker++) {
            if (busy[instance][worker]) {
                continue;
            }
            ModelRequest next = model.poll(queues.get(instance));
            if (next == null) {
                return;
            }
            int target = worker;
            busy[instance][target] = true;
            model.clock.after(
                    SlotModel.HOP_MICROS,
                    () ->
                            model.workers
                                    .get(target)
                                    .offer(next, model.tally, () -> end(instance, target)));
        }
    }

    private void end(int instance, int worker) {
        model.clock.after(
                SlotModel.HOP_MICROS,
                () -> {
                    busy[instance][worker] = false;
                    dispatch(instance);
                });
    }
}
