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
 * Executes moves, each in two transactions: the drain in the old pool, and, once the worker is
 * idle, its assignment to the new pool. The reason of the drain names the target, so that another
 * instance that takes over the lease can finish the move.
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
     * Creates a runner that acts only in {@link #tick}.
     *
     * @param needs computes the pools' current demand for workers
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
     * Runs all steps that are due. Fails with STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN; the next
     * tick continues.
     *
     * @param fence the condition of the lease, required by each transaction
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
                                addCompletion(
                                        steps, snapshot, new WorkerId(name), versioned, extra));
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

    private void addCompletion(
            Steps steps,
            ConfigSnapshot snapshot,
            WorkerId worker,
            Versioned versioned,
            Transaction extra) {
        AssignmentSpec current = (AssignmentSpec) versioned.spec();
        boolean isOutOfService =
                Set.of(WorkerPhase.DRAINING, WorkerPhase.DRAINED).contains(current.phase());
        new DrainReason(current.reason())
                .moveTarget()
                .filter(target -> isOutOfService && draining.isIdle(worker, versioned))
                .ifPresent(
                        target -> {
                            // If the target pool has been deleted meanwhile, the worker stays in
                            // its pool.
                            PoolId pool =
                                    snapshot.pool(target).isPresent() ? target : current.pool();
                            AssignmentSpec next = new AssignmentSpec(pool, WorkerPhase.ACTIVE, "");
                            AssignmentRule rule = AssignmentRule.step(worker, versioned, next);
                            steps.add(() -> assignments.change(worker, rule, extra));
                        });
    }
}
