package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Random;

/** Faults of all kinds, each drawn when it is injected. */
final class SimulatedDrawnFaults {
    private final SimulatedNetworkFaults.Parts parts;
    private final SimulatedNetworkFaults.Fleet fleet;
    private final SimulatedEvacuations evacuations;
    private final VirtualLoop loop;
    private final Random random;

    SimulatedDrawnFaults(
            SimulatedNetworkFaults.Parts parts,
            SimulatedNetworkFaults.Fleet fleet,
            SimulatedEvacuations evacuations) {
        this.parts = parts;
        this.fleet = fleet;
        this.evacuations = evacuations;
        this.loop = parts.loop();
        this.random = parts.random();
    }

    /** Injects one fault. */
    void inject() {
        List<SimulatedNetworkFaults.Instance> nodes = fleet.instances();
        SimulatedNetworkFaults.Instance node = nodes.get(random.nextInt(nodes.size()));
        long millis = 500 + random.nextInt(4_000);
        int kind = random.nextInt(10);
        if (kind >= 3 && kind <= 6) {
            evacuations.disturbStore(millis);
        }
        parts.log()
                .add(loop.nowMillis() + ": kind " + kind + " on " + node.name() + " for " + millis);
        switch (kind) {
            case 0 -> node.kill(millis);
            case 1 -> nodes.forEach(each -> each.kill(millis));
            case 2 -> node.process().freeze(millis);
            case 3 ->
                    applyFor(
                            millis,
                            () -> parts.store().unavailable = true,
                            () -> parts.store().unavailable = false);
            case 4 -> restrictStore(node.process(), SimulatedProcess.StoreAccess.REFUSED, millis);
            case 5 ->
                    restrictStore(
                            node.process(), SimulatedProcess.StoreAccess.NOT_ANSWERED, millis);
            case 6 ->
                    applyFor(
                            millis,
                            () -> parts.store().lostAnswerProbability = 0.3,
                            () -> parts.store().lostAnswerProbability = 0);
            case 7 -> parts.store().dropHistory();
            case 8 ->
                    applyFor(
                            millis,
                            () -> parts.callFaults().delayProbability = 0.3,
                            () -> parts.callFaults().delayProbability = 0);
            default -> fleet.crashWorker(fleet.presentWorker(), millis);
        }
    }

    private void restrictStore(
            SimulatedProcess process, SimulatedProcess.StoreAccess access, long millis) {
        boolean all = random.nextBoolean();
        applyFor(
                millis,
                () -> {
                    process.store = access;
                    process.cutFromWorkers = all;
                    process.cutFromSiblings = all;
                },
                () -> {
                    process.store = SimulatedProcess.StoreAccess.SERVED;
                    process.cutFromWorkers = false;
                    process.cutFromSiblings = false;
                });
    }

    private void applyFor(long millis, Runnable begin, Runnable end) {
        begin.run();
        loop.after(millis, end);
    }
}
