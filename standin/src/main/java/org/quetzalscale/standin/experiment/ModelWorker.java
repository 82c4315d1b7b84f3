package org.quetzalscale.standin.experiment;

/** A worker of a model: runs as many requests as it has slots and refuses more. */
final class ModelWorker {
    private final VirtualClock clock;
    private final int slots;
    private int busy;

    ModelWorker(VirtualClock clock, int slots) {
        this.clock = clock;
        this.slots = slots;
    }

    /** Runs a request and calls back at its end; false if all slots are busy. */
    boolean offer(ModelRequest request, SlotTally tally, Runnable ended) {
        if (busy == slots) {
            return false;
        }
        busy++;
        request.started = true;
        tally.started(request, clock.nowMicros());
        clock.after(
                request.serviceMicros,
                () -> {
                    busy--;
                    tally.ended(request, clock.nowMicros());
                    ended.run();
                });
        return true;
    }
}
