package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Random;
import java.util.Set;

/** Faults between owners, workers, the store and the platform, which begin again and again. */
final class SimulatedNetworkFaults {
    private static final long PERIOD_MILLIS = 16_000;
    private static final int SLOW_CALLS_MILLIS = 150;
    private static final long LOST_RENEWALS_INTERVAL_MILLIS = 3_500;
    private static final long LOST_RENEWALS_MILLIS = 3_000;
    private static final long PARTITION_INTERVAL_MILLIS = 12_000;
    private static final int MIN_PARTITION_MILLIS = 4_000;
    private static final int PARTITION_SPREAD_MILLIS = 10_000;
    private static final long SLOW_ENTRIES_BEGIN_MILLIS = 4_000;
    private static final long SLOW_ENTRIES_INTERVAL_MILLIS = 14_000;
    private static final int ENTRY_READ_MILLIS = 2_500;
    private static final long UNLISTED_MILLIS = 10_000;
    private static final long OUTAGE_MILLIS = 6_000;
    private static final long RESTARTS_BEGIN_MILLIS = 2_000;
    private static final int MIN_DOWN_MILLIS = 50;
    private static final int DOWN_SPREAD_MILLIS = 1_500;
    private static final int MIN_RESTART_INTERVAL_MILLIS = 300;
    private static final int RESTART_INTERVAL_SPREAD_MILLIS = 2_000;
    private static final int LIST_DELAY_MILLIS = 900;
    private static final int MIN_REFUSAL_INTERVAL_MILLIS = 1_500;
    private static final int REFUSAL_INTERVAL_SPREAD_MILLIS = 1_500;
    private static final int DOWN_BEFORE_REFUSAL_MILLIS = 300;
    private static final int MIN_HEALTHY_MILLIS = 350;
    private static final int HEALTHY_SPREAD_MILLIS = 400;
    private static final int REFUSAL_MILLIS = 600;

    private static final int RESTART_BEGIN_MILLIS = 6_000;
    private static final int SIBLING_DOWN_MILLIS = 4_000;
    private static final int CUT_AFTER_MILLIS = 3_500;
    private static final int JOINING_PARTITION_MILLIS = 14_000;

    private final Parts parts;
    private final Fleet fleet;
    private final VirtualLoop loop;
    private final Random random;

    /**
     * What the faults are injected into, besides the fleet.
     *
     * @param log descriptions of the injected faults
     */
    record Parts(
            VirtualLoop loop,
            Random random,
            SimulatedStore store,
            SimulatedNetwork network,
            SimulatedInstances instances,
            SimulatedCalls.CallFaults callFaults,
            List<String> log) {}

    /** An instance, which runs one process at a time. */
    interface Instance {
        String name();

        /** The process that runs, or ran last. */
        SimulatedProcess process();

        /**
         * Kills the process, and starts the next one later. Does nothing without a live process.
         */
        void kill(long downMillis);
    }

    /** The fleet that the faults are injected into. */
    interface Fleet {
        /** All instances. */
        List<Instance> instances();

        /** A worker on an instance, drawn. */
        SimulatedWorker presentWorker();

        /** Crashes a worker, which restarts under its id; does nothing while it is down. */
        void crashWorker(SimulatedWorker worker, long downMillis);

        /** Removes the entry of a worker for some time. */
        void removeEntry(SimulatedWorker worker, long millis);

        /** Processes that are alive and take themselves for the owner of the fleet. */
        List<SimulatedProcess> owners();

        /** Processes that are alive. */
        List<SimulatedProcess> processes();

        /** Stops an instance that is not the owner gracefully, and starts it again later. */
        void restartSibling(long downMillis);
    }

    SimulatedNetworkFaults(Parts parts, Fleet fleet) {
        this.parts = parts;
        this.fleet = fleet;
        this.loop = parts.loop();
        this.random = parts.random();
    }

    /** Schedules the faults of a kind that concerns the network. */
    void begin(SimulationFaults kind) {
        switch (kind) {
            case LOST_RENEWALS -> {
                parts.callFaults().latencySpreadMillis = SLOW_CALLS_MILLIS;
                loop.after(LOST_RENEWALS_INTERVAL_MILLIS, this::loseRenewals);
            }
            case PARTITIONED_OWNER ->
                    loop.after(MIN_PARTITION_MILLIS + random.nextInt(1_000), this::partitionOwner);
            case SLOW_ENTRIES -> {
                parts.store().entryReadMillis = ENTRY_READ_MILLIS;
                loop.after(SLOW_ENTRIES_BEGIN_MILLIS, this::removeEntryAndIsolateOwner);
            }
            case QUICK_RESTARTS -> {
                parts.callFaults().withoutResets = true;
                loop.after(RESTARTS_BEGIN_MILLIS, this::restartQuickly);
            }
            case LATE_LISTS -> {
                parts.instances().listDelayMillis = LIST_DELAY_MILLIS;
                loop.after(RESTARTS_BEGIN_MILLIS, this::restartAndRefuse);
            }
            case JOINING_INSTANCE ->
                    loop.after(RESTART_BEGIN_MILLIS + random.nextInt(4_000), this::restartSibling);
            default -> throw new IllegalArgumentException(kind + " is no fault of the network");
        }
    }

    /**
     * Restarts an instance that is not the owner, and cuts off the others with a worker when they
     * have read that it left, before it returns.
     */
    private void restartSibling() {
        fleet.restartSibling(SIBLING_DOWN_MILLIS);
        String worker = fleet.presentWorker().id;
        loop.after(
                CUT_AFTER_MILLIS,
                () -> {
                    log("the present instances reach only " + worker);
                    parts.network()
                            .divide(
                                    Set.copyOf(fleet.processes()),
                                    worker,
                                    parts.instances().workers());
                    loop.after(JOINING_PARTITION_MILLIS, parts.network()::unite);
                });
    }

    private boolean isOver() {
        return loop.nowMillis() > PERIOD_MILLIS;
    }

    private void log(String fault) {
        parts.log().add(loop.nowMillis() + ": " + fault);
    }

    private void loseRenewals() {
        if (isOver()) {
            return;
        }
        loop.after(LOST_RENEWALS_INTERVAL_MILLIS, this::loseRenewals);
        for (SimulatedProcess owner : fleet.owners()) {
            log("transactions of the owner are unanswered");
            owner.store = SimulatedProcess.StoreAccess.COMMITS_NOT_ANSWERED;
            loop.after(
                    LOST_RENEWALS_MILLIS, () -> owner.store = SimulatedProcess.StoreAccess.SERVED);
        }
    }

    /** Cuts the owner and one worker off from everything else for some seconds. */
    private void partitionOwner() {
        if (isOver()) {
            return;
        }
        loop.after(PARTITION_INTERVAL_MILLIS, this::partitionOwner);
        String worker = fleet.presentWorker().id;
        long millis = MIN_PARTITION_MILLIS + random.nextInt(PARTITION_SPREAD_MILLIS);
        log("the owner reaches only " + worker + " for " + millis);
        for (SimulatedProcess owner : fleet.owners()) {
            parts.network().divide(owner, worker, parts.instances().workers());
            loop.after(millis, parts.network()::unite);
        }
    }

    /**
     * Removes the entry of a worker, and cuts the owner off from the store and the other instances,
     * for some seconds.
     */
    private void removeEntryAndIsolateOwner() {
        if (isOver()) {
            return;
        }
        loop.after(SLOW_ENTRIES_INTERVAL_MILLIS, this::removeEntryAndIsolateOwner);
        SimulatedWorker worker = fleet.presentWorker();
        log("no entry of " + worker.id + ", and the owner reaches only workers");
        fleet.removeEntry(worker, UNLISTED_MILLIS);
        fleet.owners().forEach(this::isolate);
    }

    private void isolate(SimulatedProcess process) {
        process.store = SimulatedProcess.StoreAccess.NOT_ANSWERED;
        process.cutFromSiblings = true;
        loop.after(
                OUTAGE_MILLIS,
                () -> {
                    process.store = SimulatedProcess.StoreAccess.SERVED;
                    process.cutFromSiblings = false;
                });
    }

    private void restartQuickly() {
        if (isOver()) {
            return;
        }
        SimulatedWorker worker = fleet.presentWorker();
        long downMillis = MIN_DOWN_MILLIS + random.nextInt(DOWN_SPREAD_MILLIS);
        log(worker.id + " restarts after " + downMillis);
        fleet.crashWorker(worker, downMillis);
        loop.after(
                MIN_RESTART_INTERVAL_MILLIS + random.nextInt(RESTART_INTERVAL_SPREAD_MILLIS),
                this::restartQuickly);
    }

    /** Restarts a worker, which soon after answers all calls with errors for a moment. */
    private void restartAndRefuse() {
        if (isOver()) {
            return;
        }
        loop.after(
                MIN_REFUSAL_INTERVAL_MILLIS + random.nextInt(REFUSAL_INTERVAL_SPREAD_MILLIS),
                this::restartAndRefuse);
        SimulatedWorker worker = fleet.presentWorker();
        if (!worker.up) {
            return;
        }
        long healthyMillis = MIN_HEALTHY_MILLIS + random.nextInt(HEALTHY_SPREAD_MILLIS);
        log(worker.id + " restarts, and refuses calls after " + healthyMillis);
        fleet.crashWorker(worker, DOWN_BEFORE_REFUSAL_MILLIS);
        long refusesAfterMillis = DOWN_BEFORE_REFUSAL_MILLIS + healthyMillis;
        loop.after(refusesAfterMillis, () -> worker.unhealthy = true);
        loop.after(refusesAfterMillis + REFUSAL_MILLIS, () -> worker.unhealthy = false);
    }
}
