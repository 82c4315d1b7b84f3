package org.quetzalscale.standin.experiment.maintenance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.DrainReason;
import org.quetzalscale.core.maintenance.FleetState;
import org.quetzalscale.core.maintenance.PlannedDrain;
import org.quetzalscale.core.maintenance.PoolBudget;
import org.quetzalscale.core.maintenance.WavePlanner;
import org.quetzalscale.core.maintenance.WaveRow;
import org.quetzalscale.core.placement.Move;
import org.quetzalscale.core.placement.PoolNeeds;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;

/**
 * A fleet under virtual time, in steps of a second. Work is a fluid: a pool finishes as much as it
 * has active workers, and the rest waits. Drains are granted by the same budget as in the product.
 */
final class FleetModel {
    static final WaveId WAVE = new WaveId("all");
    private static final int DRAIN_SECONDS = 5;
    private static final int LAST_REQUEST_SECONDS = 20;
    private static final int REBOOT_SECONDS = 300;
    private static final double BACKLOG_HORIZON_SECONDS = 10;

    private final FleetShape shape;
    private final BurstLoad load;
    private final WaveStrategy waves;
    private final MoveStrategy moveStrategy;
    private final Random random;
    private final Map<WorkerId, Long> backAtSecond = new HashMap<>();
    private final double[] backlog;
    private ConfigSnapshot snapshot;
    private WaveRow row = WaveRow.started(0);
    private long second;
    private double idleSeconds;
    private double delayedSeconds;
    private long brokenSeconds;
    private int moves;
    private int refused;

    FleetModel(
            FleetShape shape,
            double burstSeconds,
            WaveStrategy waves,
            MoveStrategy moveStrategy,
            long seed) {
        this.shape = shape;
        this.random = new Random(seed);
        this.load = new BurstLoad(shape, burstSeconds, random);
        this.waves = waves;
        this.moveStrategy = moveStrategy;
        this.backlog = new double[shape.sizes().size()];
        this.snapshot = shape.snapshot();
        set(
                WAVE.value(),
                new WaveSpec(List.of(), WaveAction.REBOOT, shape.maxParallel(), false, false, 0.1));
    }

    /** Runs until all workers are maintained once, or to the end. */
    FleetResult runWave(long maxSeconds) {
        while (second < maxSeconds && row.done().size() < shape.workers()) {
            step();
        }
        return result(row.done().size() < shape.workers() ? -1 : second);
    }

    /** Runs for some time. */
    FleetResult run(long seconds) {
        while (second < seconds) {
            step();
        }
        return result(-1);
    }

    private FleetResult result(long rollOutSeconds) {
        return new FleetResult(
                idleSeconds / 3_600,
                rollOutSeconds,
                moves,
                delayedSeconds / 3_600,
                brokenSeconds,
                refused);
    }

    private void step() {
        second++;
        Set<PoolId> bursting = new HashSet<>();
        Map<PoolId, Integer> demand = new HashMap<>();
        Map<PoolId, PoolBudget> budgets = PoolBudget.all(snapshot, worker -> true);
        for (int i = 0; i < backlog.length; i++) {
            PoolId pool = shape.pool(i);
            PoolBudget budget = budgets.get(pool);
            double arriving = load.workers(i, second);
            double finished = Math.min(budget.healthy(), backlog[i] + arriving);
            backlog[i] += arriving - finished;
            delayedSeconds += backlog[i];
            idleSeconds += budget.healthy() - finished;
            brokenSeconds += budget.spare() < 0 ? 1 : 0;
            double wanted = arriving + backlog[i] / BACKLOG_HORIZON_SECONDS;
            demand.put(pool, (int) Math.ceil(wanted));
            if (wanted > budget.healthy()) {
                bursting.add(pool);
            }
        }
        finishDue();
        FleetState state = new FleetState(snapshot, w -> true, Map.of(WAVE, row), bursting);
        waves.drains(state).forEach(this::grant);
        PoolNeeds needs = new PoolNeeds(demand, WavePlanner.plan(state).due());
        for (Move move : moveStrategy.moves(snapshot, needs, second * 1_000)) {
            grant(new PlannedDrain(move.worker(), move.from(), DrainReason.move(move.to())));
        }
    }

    private void grant(PlannedDrain drain) {
        AssignmentSpec present = snapshot.assignment(drain.worker()).orElseThrow();
        boolean isMovable =
                present.phase() == WorkerPhase.ACTIVE && present.pool().equals(drain.pool());
        if (!isMovable || PoolBudget.of(snapshot, drain.pool(), w -> true).spare() < 1) {
            refused++;
            return;
        }
        set(
                drain.worker().value(),
                new AssignmentSpec(drain.pool(), WorkerPhase.DRAINING, drain.reason().text()));
        long drained = second + DRAIN_SECONDS + random.nextInt(LAST_REQUEST_SECONDS);
        long reboot = drain.reason().wave().isPresent() ? REBOOT_SECONDS : 0;
        backAtSecond.put(drain.worker(), drained + reboot);
    }

    private void finishDue() {
        for (WorkerId worker : List.copyOf(backAtSecond.keySet())) {
            if (second < backAtSecond.get(worker)) {
                continue;
            }
            backAtSecond.remove(worker);
            AssignmentSpec present = snapshot.assignment(worker).orElseThrow();
            Optional<PoolId> target = new DrainReason(present.reason()).moveTarget();
            set(
                    worker.value(),
                    new AssignmentSpec(target.orElse(present.pool()), WorkerPhase.ACTIVE, ""));
            if (target.isPresent()) {
                moves++;
            } else {
                row = row.withDone(worker);
            }
        }
    }

    private void set(String name, Spec spec) {
        snapshot =
                snapshot.apply(
                        new Change(
                                snapshot.revision().next(), spec.kind(), name, Optional.of(spec)));
    }

    /** Workers by pool that are active, for checks of the model. */
    int activeWorkers() {
        return (int)
                snapshot.all(Kind.ASSIGNMENTS).values().stream()
                        .filter(v -> ((AssignmentSpec) v.spec()).phase() == WorkerPhase.ACTIVE)
                        .count();
    }
}
