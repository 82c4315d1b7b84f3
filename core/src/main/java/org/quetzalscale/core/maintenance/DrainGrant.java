package org.quetzalscale.core.maintenance;

import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.table.Transaction;

/** Grants drains: takes a worker out of service if its pool's budget permits. */
public final class DrainGrant {
    private final AssignmentWriter assignments;
    private final Predicate<WorkerId> live;

    /**
     * Creates a grant that checks budgets against the given liveness of workers.
     *
     * @param live whether the platform lists the worker as live
     */
    public DrainGrant(AssignmentWriter assignments, Predicate<WorkerId> live) {
        this.assignments = assignments;
        this.live = live;
    }

    /**
     * Sets an active worker to draining. The stage fails with BUDGET_EXHAUSTED if fewer healthy
     * workers than the floor would remain, INVALID_STATE if the worker is not active, and otherwise
     * as {@link AssignmentWriter#change} does.
     *
     * @param pool the pool for which the drain was planned
     * @param extra conditions, such as a lease's fence, and mutations that commit with the grant
     */
    public CompletionStage<Revision> grant(
            WorkerId worker, PoolId pool, DrainReason reason, Transaction extra) {
        Objects.requireNonNull(reason, "reason");
        return assignments.change(
                worker, (latest, current) -> decide(latest, current, worker, pool, reason), extra);
    }

    private AssignmentSpec decide(
            ConfigSnapshot latest,
            AssignmentSpec current,
            WorkerId worker,
            PoolId pool,
            DrainReason reason) {
        if (current.phase() != WorkerPhase.ACTIVE || !current.pool().equals(pool)) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    String.format(
                            "worker \"%s\" is %s in pool \"%s\", not active in pool \"%s\"",
                            worker, current.phase(), current.pool(), pool));
        }
        PoolBudget budget = PoolBudget.of(latest, pool, live);
        int healthyAfter = budget.healthy() - (live.test(worker) ? 1 : 0);
        if (healthyAfter < budget.floor()) {
            throw new QuetzalscaleException(
                    ErrorKind.BUDGET_EXHAUSTED,
                    String.format(
                            "without worker \"%s\" pool \"%s\" would have %d healthy workers,"
                                    + " below its minAvailable of %d",
                            worker, pool, healthyAfter, budget.floor()));
        }
        return new AssignmentSpec(pool, WorkerPhase.DRAINING, reason.text());
    }
}
