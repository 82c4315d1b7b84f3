package org.quetzalscale.standin.experiment;

import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/** What the schemes share: clock, workers, sizes, random numbers and counts. */
final class SlotModel {
    static final int INSTANCES = 8;
    static final int WORKERS = 8;
    static final int SLOTS = 8;
    static final long HOP_MICROS = 500;
    static final long REPORT_MICROS = 100_000;
    static final long HANDOFF_MICROS = 6_000_000;

    final VirtualClock clock = new VirtualClock();
    final SplittableRandom random;
    final SlotTally tally;
    final List<ModelWorker> workers = new ArrayList<>();
    final boolean[] dead = new boolean[INSTANCES];

    SlotModel(long seed, SlotTally tally) {
        this.tally = tally;
        random = new SplittableRandom(seed);
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new ModelWorker(clock, SLOTS));
        }
    }

    /** Takes the first request that can still start in time; drops the others. */
    ModelRequest poll(Deque<ModelRequest> queue) {
        while (!queue.isEmpty()) {
            ModelRequest next = queue.poll();
            if (clock.nowMicros() < next.deadlineMicros) {
                return next;
            }
            tally.expired();
        }
        return null;
    }

    /** Calls the action at each report period. */
    void eachReport(Runnable action) {
        clock.after(
                REPORT_MICROS,
                () -> {
                    action.run();
                    eachReport(action);
                });
    }
}
