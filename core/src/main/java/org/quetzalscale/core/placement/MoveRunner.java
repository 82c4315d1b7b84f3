package org.quetzalscale.core.placement;

import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.AssignmentRule;
import org.quetzalscale.core.maintenance.AssignmentWriter;
import org.quetzalscale.core.maintenance.DrainGrant;
import org.quetzalscale.core.maintenance.DrainReason;
import org.quetzalscale.core.maintenance.DrainTracker;
import org.quetzalscale.core.maintenance.FleetView;
import org.quetzalscale.core.maintenance.Steps;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;

/**
 * Drives moves, each in two transactions: the drain in the old pool, and, once nothing runs on the
 * worker, its assignment to the new pool. The reason of the drain names the target, so that a
 * runner that takes over finishes the move.
 */
public final class MoveRunner {
    private final AssignmentWriter assignments;
    private final DrainGrant grants;
    private final Predicate<WorkerId> live;
    private final Function<ConfigSnapshot, PoolNeeds> needs;
    private final DrainTracker draining;
    private final MovePlanner planner = new MovePlanner();
    private final TimeSource time;

    /**
     * Creates a runner that does nothing until it is ticked.
     *
     * @param needs what pools need at present
     * @param time monotonic clock
     */
    public MoveRunner(
            AssignmentWriter assignments,
            FleetView fleet,
            Function<ConfigSnapshot, PoolNeeds> needs,
            TimeSource time) {
        this.assignments = assignments;
        this.grants = new DrainGrant(assignments, fleet.live());
        this.live = fleet.live();
        this.needs = needs;
        this.draining = new DrainTracker(fleet.activity(), time);
        this.time = time;
    }

    /**
     * Takes all steps that are due. Fails with STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN; the next
     * tick continues.
     *
     * @param fence the lease's condition, which each transaction carries
     */
    public CompletionStage<Void> tick(Condition fence) {
        return assignments.latest().thenCompose(snapshot -> steps(snapshot, fence).run());
    }

    private Steps steps(ConfigSnapshot snapshot, Condition fence) {
        Transaction extra = Transaction.builder().require(fence).build();
        Steps steps = new Steps();
        snapshot.all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) ->
                                addArrival(steps, snapshot, new WorkerId(name), versioned, extra));
        planner.plan(snapshot, live, needs.apply(snapshot), time.nowMillis())
                .forEach(
                        move ->
                                steps.add(
                                        () ->
                                                grants.grant(
                                                        move.worker(),
                                                        move.from(),
                                                        DrainReason.move(move.to()),
                                                        extra)));
        return steps;
    }

    private void addArrival(
            Steps steps,
            ConfigSnapshot snapshot,
            WorkerId worker,
            Versioned versioned,
            Transaction extra) {
        AssignmentSpec present = (AssignmentSpec) versioned.spec();
        boolean isOut = Set.of(WorkerPhase.DRAINING, WorkerPhase.DRAINED).contains(present.phase());
        new DrainReason(present.reason())
                .moveTarget()
                .filter(target -> isOut && draining.isIdle(worker, versioned))
                .ifPresent(
                        target -> {
                            // A target that was deleted meanwhile leaves the worker where it was.
                            PoolId pool =
                                    snapshot.pool(target).isPresent() ? target : present.pool();
                            AssignmentSpec next = new AssignmentSpec(pool, WorkerPhase.ACTIVE, "");
                            AssignmentRule rule = AssignmentRule.step(worker, versioned, next);
                            steps.add(() -> assignments.change(worker, rule, extra));
                        });
    }
}
