package org.quetzalscale.standin.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** One owner for each worker: requests are passed on to an owner, which queues them. */
final class OwnerScheme implements SlotScheme {
    private final SlotModel model;
    private final List<Deque<ModelRequest>> queues = new ArrayList<>();
    private final int[] running = new int[SlotModel.WORKERS];
    private final int[][] believed = new int[SlotModel.INSTANCES][SlotModel.WORKERS];
    private final boolean[] blocked = new boolean[SlotModel.WORKERS];

    OwnerScheme(SlotModel model) {
        this.model = model;
        for (int i = 0; i < SlotModel.WORKERS; i++) {
            queues.add(new ArrayDeque<>());
        }
        model.eachReport(this::report);
    }

    @Override
    public void arrive(int instance, ModelRequest request) {
        int first = model.random.nextInt(SlotModel.WORKERS);
        int second = model.random.nextInt(SlotModel.WORKERS);
        int[] load = believed[instance];
        int worker = load[second] < load[first] ? second : first;
        load[worker]++;
        long hop = worker == instance ? 0 : SlotModel.HOP_MICROS;
        model.clock.after(hop, () -> enqueue(worker, request));
    }

    @Override
    public void die(int instance) {
        model.tally.lost(queues.get(instance).size() + running[instance]);
        queues.get(instance).clear();
        blocked[instance] = true;
        model.clock.after(
                SlotModel.HANDOFF_MICROS,
                () -> {
                    blocked[instance] = false;
                    dispatch(instance);
                });
    }

    private void enqueue(int worker, ModelRequest request) {
        queues.get(worker).add(request);
        dispatch(worker);
    }

    private void dispatch(int worker) {
        while (!blocked[worker] && running[worker] < SlotModel.SLOTS) {
            ModelRequest next = model.poll(queues.get(worker));
            if (next == null) {
                return;
            }
            running[worker]++;
            model.clock.after(
                    SlotModel.HOP_MICROS,
                    () -> model.workers.get(worker).offer(next, model.tally, () -> end(worker)));
        }
    }

    private void end(int worker) {
        model.clock.after(
                SlotModel.HOP_MICROS,
                () -> {
                    running[worker]--;
                    dispatch(worker);
                });
    }

    private void report() {
        for (int[] load : believed) {
            for (int worker = 0; worker < SlotModel.WORKERS; worker++) {
                // Siblings see that a dead owner sends no report and leave its worker out.
                load[worker] =
                        blocked[worker]
                                ? Integer.MAX_VALUE / 2
                                : queues.get(worker).size() + running[worker];
            }
        }
    }
}
