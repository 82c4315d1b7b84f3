package org.quetzalscale.standin.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** Each instance picks the better of two workers by reports; a full worker refuses. */
final class OptimisticScheme implements SlotScheme {
    private final SlotModel model;
    private final boolean skipsFull;
    private final boolean keepsToPart;
    private final long refusedMicros;
    private final List<Instance> instances = new ArrayList<>();

    /**
     * A scheme with empty queues.
     *
     * @param skipsFull whether workers that are full by the reports get nothing
     * @param keepsToPart whether an instance uses at most a part of the slots in proportion to its
     *     demand, by the demands that siblings reported
     * @param refusedMicros time for which a worker that refused gets nothing
     */
    OptimisticScheme(SlotModel model, boolean skipsFull, boolean keepsToPart, long refusedMicros) {
        this.model = model;
        this.keepsToPart = keepsToPart;
        this.skipsFull = skipsFull;
        this.refusedMicros = refusedMicros;
        for (int i = 0; i < SlotModel.INSTANCES; i++) {
            instances.add(new Instance());
        }
        model.eachReport(this::report);
    }

    @Override
    public void arrive(int instance, ModelRequest request) {
        instances.get(instance).queue.add(request);
        dispatch(instances.get(instance));
    }

    @Override
    public void die(int instance) {
        Instance dying = instances.get(instance);
        model.tally.lost(dying.queue.size() + Arrays.stream(dying.own).sum());
        dying.queue.clear();
        dying.isDead = true;
    }

    private void dispatch(Instance instance) {
        while (!instance.isDead) {
            int worker = choose(instance);
            ModelRequest next = worker < 0 ? null : model.poll(instance.queue);
            if (next == null) {
                return;
            }
            instance.own[worker]++;
            model.clock.after(SlotModel.HOP_MICROS, () -> offer(instance, worker, next));
        }
    }

    private void offer(Instance instance, int worker, ModelRequest request) {
        Runnable ended =
                () ->
                        model.clock.after(
                                SlotModel.HOP_MICROS,
                                () -> {
                                    instance.own[worker]--;
                                    instance.refusedUntil[worker] = 0;
                                    dispatch(instance);
                                });
        if (model.workers.get(worker).offer(request, model.tally, ended)) {
            return;
        }
        model.tally.refused();
        model.clock.after(
                SlotModel.HOP_MICROS,
                () -> {
                    instance.own[worker]--;
                    long until = model.clock.nowMicros() + refusedMicros;
                    instance.refusedUntil[worker] = until;
                    instance.queue.addFirst(request);
                    model.clock.after(refusedMicros, () -> dispatch(instance));
                    dispatch(instance);
                });
    }

    private int choose(Instance instance) {
        if (keepsToPart && instance.ownTotal() >= instance.part()) {
            return -1;
        }
        int[] free = new int[SlotModel.WORKERS];
        int count = 0;
        for (int worker = 0; worker < SlotModel.WORKERS; worker++) {
            int load = skipsFull ? instance.load(worker) : instance.own[worker];
            if (load < SlotModel.SLOTS
                    && model.clock.nowMicros() >= instance.refusedUntil[worker]) {
                free[count++] = worker;
            }
        }
        if (count == 0) {
            return -1;
        }
        int first = free[model.random.nextInt(count)];
        int second = free[model.random.nextInt(count)];
        return instance.load(second) < instance.load(first) ? second : first;
    }

    private void report() {
        int[] demands = new int[SlotModel.INSTANCES];
        for (int i = 0; i < SlotModel.INSTANCES; i++) {
            demands[i] = instances.get(i).ownTotal() + instances.get(i).queue.size();
        }
        int[][] counts = new int[SlotModel.INSTANCES][];
        for (int i = 0; i < SlotModel.INSTANCES; i++) {
            counts[i] = instances.get(i).own.clone();
        }
        model.clock.after(SlotModel.HOP_MICROS, () -> takeOver(counts, demands));
    }

    private void takeOver(int[][] counts, int[] demands) {
        for (int i = 0; i < SlotModel.INSTANCES; i++) {
            Instance instance = instances.get(i);
            instance.siblingDemands = demands.clone();
            instance.siblingDemands[i] = 0;
            for (int worker = 0; worker < SlotModel.WORKERS; worker++) {
                instance.siblings[worker] = -counts[i][worker];
                for (int[] reported : counts) {
                    instance.siblings[worker] += reported[worker];
                }
            }
            dispatch(instance);
        }
    }

    /** State of one entry instance. */
    private static final class Instance {
        private final Deque<ModelRequest> queue = new ArrayDeque<>();
        private final int[] own = new int[SlotModel.WORKERS];
        private final int[] siblings = new int[SlotModel.WORKERS];
        private final long[] refusedUntil = new long[SlotModel.WORKERS];
        private int[] siblingDemands = new int[SlotModel.INSTANCES];
        private boolean isDead;

        int ownTotal() {
            return Arrays.stream(own).sum();
        }

        /** The instance's part of the pool's slots, in proportion to its demand. */
        int part() {
            int mine = ownTotal() + queue.size();
            int all = mine + Arrays.stream(siblingDemands).sum();
            int slots = SlotModel.WORKERS * SlotModel.SLOTS;
            return all <= slots ? slots : (slots * mine + all - 1) / all;
        }

        int load(int worker) {
            return own[worker] + siblings[worker];
        }
    }
}
