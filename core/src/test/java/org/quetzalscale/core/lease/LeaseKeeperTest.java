package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/** Tests mutual exclusion, fencing and takeover of leases. */
class LeaseKeeperTest {
    private static final RowCodec<LeaseRow> CODEC =
            new RowCodec<>() {
                @Override
                public String encode(LeaseRow value) {
                    return value.holder() + ":" + value.renewals();
                }

                @Override
                public LeaseRow decode(String text) {
                    int colon = text.lastIndexOf(':');
                    return new LeaseRow(
                            text.substring(0, colon), Long.parseLong(text.substring(colon + 1)));
                }
            };

    private final InMemoryTable table = new InMemoryTable();
    private long nowMillis;
    private final LeaseKeeper first = keeper("instance-1");
    private final LeaseKeeper second = keeper("instance-2");

    private LeaseKeeper keeper(String name) {
        return new LeaseKeeper(table, CODEC, "jobs", new InstanceId(name), () -> nowMillis);
    }

    private CommitResult writeUnder(Lease lease) {
        return table.commit(
                        Transaction.builder()
                                .require(lease.fence())
                                .put(RowKey.of("job", "1"), "x")
                                .build())
                .toCompletableFuture()
                .join();
    }

    private void tickUntil(long endMillis, LeaseKeeper... running) {
        while (nowMillis < endMillis) {
            nowMillis += LeaseKeeper.RENEW_MILLIS;
            for (LeaseKeeper keeper : running) {
                keeper.tick();
            }
        }
    }

    @Nested
    class WithOptions {
        private final RowKey announcement = RowKey.of("job", "owner");

        private LeaseKeeper keeper(String name, long waitMillis) {
            LeaseKeeper.Options options =
                    new LeaseKeeper.Options(
                            1_500,
                            holder -> false,
                            java.util.Optional.of(announcement),
                            () -> waitMillis);
            return new LeaseKeeper(
                    table, CODEC, "fleet", new InstanceId(name), () -> nowMillis, options);
        }

        /** Guards against a former owner that reads newer work and not who took its lease. */
        @Test
        void announceEachAcquisitionWithTheVersionOfItsFence() {
            LeaseKeeper keeper = keeper("instance-1", 0);
            keeper.tick();

            long announced = table.read(announcement).toCompletableFuture().join().get().version();
            assertThat(announced).isEqualTo(keeper.current().get().fence().version());
        }

        /** Guards against a weak instance that takes a lease which a strong one would take. */
        @Test
        void leaveAFreeLeaseToOthersForAWhile() {
            LeaseKeeper strong = keeper("instance-1", 0);
            LeaseKeeper weak = keeper("instance-2", 500);
            strong.tick();
            strong.release();
            weak.tick();
            nowMillis += 499;
            weak.tick();
            assertThat(weak.current()).isEmpty();

            nowMillis += 1;
            weak.tick();
            assertThat(weak.current()).isPresent();
        }
    }

    @Nested
    class MutualExclusion {
        @Test
        void aRenewedLeaseIsNotTakenOver() {
            first.tick();
            tickUntil(60_000, first, second);
            assertThat(first.current()).isPresent();
            assertThat(second.current()).isEmpty();
        }

        @Test
        void renewalKeepsTheFence() {
            first.tick();
            Lease lease = first.current().orElseThrow();
            tickUntil(10_000, first);
            assertThat(writeUnder(lease).isCommitted()).isTrue();
        }

        /**
         * Guards against a write of a paused previous holder that takes effect after a takeover.
         */
        @Test
        void aPausedHolderIsFencedAfterTakeover() {
            first.tick();
            Lease paused = first.current().orElseThrow();
            tickUntil(2 * LeaseKeeper.LEASE_MILLIS, second);
            assertThat(second.current()).isPresent();
            assertThat(writeUnder(paused).isCommitted()).isFalse();
            assertThat(writeUnder(second.current().get()).isCommitted()).isTrue();
            first.tick();
            assertThat(first.current()).isEmpty();
        }
    }

    @Nested
    class Takeover {
        @Test
        void aReleasedLeaseIsAcquiredAtOnce() {
            first.tick();
            first.release();
            second.tick();
            assertThat(first.current()).isEmpty();
            assertThat(second.current()).isPresent();
        }

        /** Guards against two holders after a restart that reuses an instance id. */
        @Test
        void aRestartedProcessDoesNotKeepThePreviousLease() {
            first.tick();
            Lease previous = first.current().orElseThrow();
            LeaseKeeper restarted = keeper("instance-1");
            restarted.tick();
            assertThat(restarted.current()).isEmpty();
            tickUntil(2 * LeaseKeeper.LEASE_MILLIS, restarted);
            assertThat(restarted.current()).isPresent();
            assertThat(writeUnder(previous).isCommitted()).isFalse();
        }
    }

    /** A restarted process beside its predecessor, both under one instance name. */
    @Nested
    class ProcessesOfOneName {
        private final LeaseKeeper restarted = keeper("instance-1");

        private void takeOver() {
            tickUntil(nowMillis + 2 * LeaseKeeper.LEASE_MILLIS, restarted);
            assertThat(restarted.current()).isPresent();
        }

        /** Guards against a former process that renews its successor's lease as its own. */
        @Test
        void theFormerProcessDoesNotRenewTheLeaseOfItsSuccessor() {
            first.tick();
            takeOver();
            first.tick();

            assertThat(first.currentOrExpired()).isEmpty();
            Lease lease = restarted.current().orElseThrow();
            assertThat(writeUnder(lease).isCommitted()).isTrue();
        }

        /** Guards against a former process that frees its successor's lease when it ends. */
        @Test
        void theFormerProcessDoesNotReleaseTheLeaseOfItsSuccessor() {
            first.tick();
            takeOver();
            first.release();
            second.tick();

            assertThat(second.current()).isEmpty();
            assertThat(writeUnder(restarted.current().orElseThrow()).isCommitted()).isTrue();
        }
    }

    @Nested
    class LateCalls {
        private final DelayingTable connection = new DelayingTable(table);
        private final LeaseKeeper keeper =
                new LeaseKeeper(
                        connection, CODEC, "jobs", new InstanceId("instance-1"), () -> nowMillis);

        /** Guards against a lease that is lost because its holder's own renewal arrived late. */
        @Test
        void aLateRenewalDoesNotEndTheLease() {
            keeper.tick();
            Lease lease = keeper.current().orElseThrow();
            connection.failCommits(DelayingTable.Fault.LATE);
            keeper.tick();
            connection.beforeNextCommit(connection::carryOutPending);
            keeper.tick();

            assertThat(keeper.current()).contains(lease);
            tickUntil(nowMillis + 2 * LeaseKeeper.LEASE_MILLIS, keeper, second);
            assertThat(keeper.current()).contains(lease);
        }

        /**
         * Guards against an instance that stops while its acquisition is in flight, and thereby
         * keeps the lease from others for the whole lease time.
         */
        @Test
        void aReleaseFollowsAnAcquisitionInFlight() {
            connection.failCommits(DelayingTable.Fault.SLOW);
            keeper.tick();
            keeper.release();
            connection.carryOutPending();
            second.tick();

            assertThat(keeper.currentOrExpired()).isEmpty();
            assertThat(second.current()).isPresent();
        }

        /** Guards against the same while a renewal is in flight. */
        @Test
        void aReleaseFollowsARenewalInFlight() {
            keeper.tick();
            connection.failCommits(DelayingTable.Fault.SLOW);
            keeper.tick();
            connection.beforeNextCommit(connection::carryOutPending);
            keeper.release();
            connection.carryOutPending();
            second.tick();

            assertThat(second.current()).isPresent();
        }

        /**
         * Guards against a second lease that is not given back, because its release requires the
         * fence of the first one.
         */
        @Test
        void aReleaseFollowsAnAcquisitionWithoutAnswer() {
            keeper.tick();
            keeper.release();
            connection.failCommits(DelayingTable.Fault.ANSWER_LOST);
            keeper.tick();
            keeper.release();
            second.tick();

            assertThat(second.current()).isPresent();
        }
    }
}
