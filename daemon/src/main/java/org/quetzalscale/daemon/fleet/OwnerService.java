package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.net.json.Json;

/**
 * Competes for the owner's lease, and owns the fleet while it has it.
 *
 * <p>While the store is away for all instances, nobody can take the lease, and the owner goes on.
 * An owner that alone does not reach the store is replaced; its workers tell it so.
 */
public final class OwnerService {
    private static final long LEASE_MILLIS = 1_500;
    private static final long RENEW_MILLIS = 350;

    /** Between the instance's name and the start of its process in the name of a holder. */
    private static final String START_MARK = ".start-";

    private final FleetContext context;
    private final PolicyWatcher policies;
    private final LeaseKeeper keeper;
    private OwnerTerm term;
    private long fencedVersion = -1;
    private boolean stopped;
    private volatile boolean owner;

    /** Creates a service that owns nothing. */
    public OwnerService(FleetContext context, PolicyWatcher policies) {
        String name = context.self().value() + START_MARK;
        String self = name + Long.toString(context.clock().epochMillis().getAsLong(), 36);
        this.context = context;
        this.policies = policies;
        this.keeper =
                new LeaseKeeper(
                        context.table(),
                        Json.codec(LeaseRow.class),
                        FleetRows.SHARD,
                        new InstanceId(self),
                        context.clock().time(),
                        LEASE_MILLIS,
                        // An instance runs one process, so its former one has ended.
                        holder -> holder.startsWith(name) && !holder.equals(self));
    }

    /** Begins to compete. */
    public void start() {
        policies.listen(this::policy);
        renewRegularly();
    }

    /** Ends the term and gives the lease back. The stage completes when the store knows. */
    public CompletionStage<Void> stop() {
        stopped = true;
        endTerm();
        return keeper.release();
    }

    /** Ends the term and keeps the lease, as the end of the process would. */
    void abandon() {
        stopped = true;
        endTerm();
    }

    /** Whether this instance owns the fleet. */
    public boolean isOwner() {
        return owner;
    }

    /** The term of this instance; empty if another one owns the fleet. */
    Optional<OwnerTerm> term() {
        return Optional.ofNullable(term);
    }

    private void policy(FleetPolicy policy) {
        context.metrics().policyVersion(policy.version());
        if (term != null) {
            term.policy(policy);
        } else {
            renew();
        }
    }

    private void renewRegularly() {
        if (stopped) {
            return;
        }
        renew();
        context.clock().after(RENEW_MILLIS, this::renewRegularly);
    }

    private void renew() {
        if (policies.current().isPresent()) {
            keeper.tick().whenComplete((ignored, failure) -> follow());
        }
    }

    private void follow() {
        Optional<Lease> lease = keeper.currentOrExpired();
        if (stopped || lease.isEmpty() || lease.get().fence().version() == fencedVersion) {
            endTerm();
            return;
        }
        long version = lease.get().fence().version();
        if (term != null && term.fence() == version) {
            return;
        }
        endTerm();
        term = new OwnerTerm(context, policies, lease.get(), () -> fenced(version));
        owner = true;
        context.metrics().owner(true);
        term.start();
    }

    private void fenced(long version) {
        fencedVersion = version;
        endTerm();
    }

    private void endTerm() {
        if (term != null) {
            term.stop();
            term = null;
            owner = false;
            context.metrics().owner(false);
        }
    }
}
