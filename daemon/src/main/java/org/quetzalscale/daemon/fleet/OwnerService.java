package org.quetzalscale.daemon.fleet;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.lease.AcquisitionOutcome;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.lease.TermValidity;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Competes for the owner's lease, and owns the fleet while it holds the lease.
 *
 * <p>While the store is unavailable to all instances, nobody can take the lease, and the owner
 * continues. An owner that cannot tell that from being cut off stops acting before another one
 * takes over ({@link TermValidity}).
 */
public final class OwnerService {
    /** The row of the owner's lease. */
    public static final RowKey LEASE_KEY = RowKey.of("lease", FleetRows.SHARD);

    private static final long RENEW_INTERVAL_MILLIS = 350;

    /**
     * Separates the instance's name from the start time of its process in the name of a lease
     * holder.
     */
    private static final String START_TIME_SEPARATOR = ".start-";

    private final FleetContext context;
    private final PolicyWatcher policies;
    private final InstanceId self;
    private final LeaseKeeper keeper;
    private OwnerTerm term;
    private long fencedVersion = -1;
    private boolean stopped;
    private volatile boolean owner;

    /**
     * Creates a service that does not own the fleet.
     *
     * @param preference how long this instance leaves the lease to stronger ones
     */
    public OwnerService(FleetContext context, PolicyWatcher policies, OwnerPreference preference) {
        String name = context.self().value() + START_TIME_SEPARATOR;
        String holderName = name + Long.toString(context.clock().epochMillis().getAsLong(), 36);
        this.self = new InstanceId(holderName);
        this.context = context;
        this.policies = policies;
        this.keeper =
                new LeaseKeeper(
                        context.table(),
                        Json.codec(LeaseRow.class),
                        FleetRows.SHARD,
                        self,
                        context.clock().time(),
                        new LeaseKeeper.Options(
                                TermValidity.DURATION_MILLIS,
                                // An instance runs one process at a time, so the process of an
                                // earlier lease has ended.
                                holder -> holder.startsWith(name) && !holder.equals(holderName),
                                Optional.of(FleetRows.OWNER),
                                preference::waitMillis,
                                OwnerService::logAcquisition));
    }

    /** Tells on-call why the fleet has no owner although the lease row changes. */
    private static void logAcquisition(AcquisitionOutcome outcome, String detail) {
        Logger.warn(
                "event=lease_acquisition outcome={} detail=\"{}\"",
                outcome.name().toLowerCase(Locale.ROOT),
                detail);
    }

    /** Starts competing for the lease. */
    public void start() {
        policies.addListener(this::policyChanged);
        policies.addEvacuationListener(this::evacuationsChanged);
        renewPeriodically();
    }

    /** Ends the term and releases the lease. The stage completes when the store has answered. */
    public CompletionStage<Void> stop() {
        stopped = true;
        endTerm();
        return keeper.release();
    }

    /** Ends the term without releasing the lease, as a killed process does. */
    void stopWithoutRelease() {
        stopped = true;
        endTerm();
    }

    /** Whether this instance owns the fleet. */
    public boolean isOwner() {
        return owner;
    }

    /** The row of the lease as this instance has read it last. */
    public LeaseRow lastLeaseRow() {
        return keeper.lastRead();
    }

    /** The term of this instance; empty if another one owns the fleet. */
    Optional<OwnerTerm> term() {
        return Optional.ofNullable(term);
    }

    private void policyChanged(FleetPolicy policy) {
        context.metrics().policyVersion(policy.version());
        if (term != null) {
            term.updatePolicy(policy);
        } else {
            renew();
        }
    }

    private void evacuationsChanged(Set<ZoneId> zones) {
        context.metrics().evacuatedZones(zones.size());
        if (term != null) {
            term.updateEvacuatedZones(zones);
        }
    }

    private void renewPeriodically() {
        if (stopped) {
            return;
        }
        renew();
        context.clock().after(RENEW_INTERVAL_MILLIS, this::renewPeriodically);
    }

    private void renew() {
        if (policies.current().isPresent()) {
            keeper.tick().whenComplete((ignored, failure) -> applyLease());
        }
    }

    private void applyLease() {
        Optional<Lease> lease = keeper.currentOrExpired();
        if (stopped || lease.isEmpty() || lease.get().fence().version() == fencedVersion) {
            endTerm();
            return;
        }
        long version = lease.get().fence().version();
        if (term != null && term.fence() == version) {
            term.confirm(keeper.confirmedMillis());
            return;
        }
        endTerm();
        TermValidity validity =
                new TermValidity(self, lease.get().generation(), keeper.confirmedMillis());
        term = new OwnerTerm(context, policies, lease.get(), validity, () -> fenced(version));
        owner = true;
        context.metrics().owner(true);
        term.start();
    }

    /**
     * Ends a term that a worker or the store rejected, and releases the lease if it is still this
     * instance's: otherwise the renewals would keep others from owning the fleet.
     */
    private void fenced(long version) {
        fencedVersion = version;
        endTerm();
        keeper.release();
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
