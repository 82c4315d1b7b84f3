package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.time.VirtualTime;

/** What counts as the time for which a lease was not renewed. */
final class LeaseObservationTest {
    private static final long LEASE_MILLIS = 1_500;
    private static final long TICK_MILLIS = 350;
    private static final long OUTAGE_MILLIS = 4_000;

    private final VirtualTime time = new VirtualTime();
    private final FaultyTable table = new FaultyTable(time);
    private final LeaseKeeper holder = keeper("instance-1");
    private final LeaseKeeper other = keeper("instance-2");

    private LeaseKeeper keeper(String name) {
        LeaseKeeper.Options options =
                new LeaseKeeper.Options(
                        LEASE_MILLIS,
                        process -> false,
                        Optional.empty(),
                        () -> 0,
                        (outcome, detail) -> {});
        return new LeaseKeeper(
                table, LeaseKeeperTest.CODEC, "fleet", new InstanceId(name), time, options);
    }

    private void tickFor(long millis, LeaseKeeper... keepers) {
        for (long elapsed = 0; elapsed < millis; elapsed += TICK_MILLIS) {
            time.advance(TICK_MILLIS);
            for (LeaseKeeper keeper : keepers) {
                keeper.tick();
            }
        }
    }

    /**
     * Guards against work that stands still during a needless takeover (LOST): the table was away
     * for all, and whoever reads it first after its return takes the lease of a live holder.
     */
    @Test
    void aHolderKeepsItsLeaseAcrossAnOutageOfTheTable() {
        holder.tick();
        other.tick();
        Lease lease = holder.currentOrExpired().orElseThrow();
        table.setDown(true);
        tickFor(OUTAGE_MILLIS, other, holder);
        table.setDown(false);

        tickFor(LEASE_MILLIS, other, holder);

        assertThat(other.currentOrExpired()).isEmpty();
        assertThat(holder.currentOrExpired()).contains(lease);
    }

    /** Guards against a takeover by a process that was paused, when the holder was paused too. */
    @Test
    void aPauseOfAllInstancesDoesNotCount() {
        holder.tick();
        other.tick();
        Lease lease = holder.currentOrExpired().orElseThrow();
        time.advance(OUTAGE_MILLIS);

        other.tick();
        holder.tick();

        assertThat(other.currentOrExpired()).isEmpty();
        assertThat(holder.currentOrExpired()).contains(lease);
    }

    /** Guards against a fleet without an owner after an outage in which the owner ended. */
    @Test
    void theLeaseOfAnEndedHolderIsTakenAfterAnOutage() {
        holder.tick();
        other.tick();
        table.setDown(true);
        tickFor(OUTAGE_MILLIS, other);
        table.setDown(false);

        tickFor(LEASE_MILLIS + TICK_MILLIS, other);

        assertThat(other.currentOrExpired()).isPresent();
    }
}
