package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/** Tests mutual exclusion, fencing and takeover of leases. */
class LeaseKeeperTest {
    static final RowCodec<LeaseRow> CODEC =
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
                            Optional.of(announcement),
                            () -> waitMillis,
                            (outcome, detail) -> {});
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
            assertThat(restarted.currentOrExpired()).isEmpty();
            restarted.tick();

            Lease own = restarted.current().orElseThrow();
            assertThat(own.fence().version()).isGreaterThan(previous.fence().version());
            assertThat(writeUnder(previous).isCommitted()).isFalse();
            assertThat(writeUnder(own).isCommitted()).isTrue();
        }
    }

    /** A restarted process beside its predecessor, both under one instance name. */
    @Nested
    class ProcessesOfOneName {
        private final LeaseKeeper restarted = keeper("instance-1");

        private void takeOver() {
            restarted.tick();
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
    class FormerProcesses {
        private final DelayingTable formerConnection = new DelayingTable(table);
        private final LeaseKeeper former =
                new LeaseKeeper(
                        formerConnection,
                        CODEC,
                        "jobs",
                        new InstanceId("instance-1"),
                        () -> nowMillis);
        private final LeaseKeeper restarted = keeper("instance-1");

        /** Guards against two processes that take the lease from each other with every tick. */
        @Test
        void aFormerProcessDoesNotTakeTheLeaseBack() {
            former.tick();
            restarted.tick();
            Lease lease = restarted.current().orElseThrow();
            tickUntil(nowMillis + 5 * LeaseKeeper.LEASE_MILLIS, former, restarted);

            assertThat(former.currentOrExpired()).isEmpty();
            assertThat(restarted.current()).contains(lease);
        }

        /** Guards against the same after a release that the successor's lease rejected. */
        @Test
        void aFormerProcessDoesNotTakeTheLeaseBackAfterARelease() {
            former.tick();
            restarted.tick();
            former.release();
            former.tick();

            assertThat(former.currentOrExpired()).isEmpty();
            assertThat(writeUnder(restarted.current().orElseThrow()).isCommitted()).isTrue();
        }

        /** Guards against an instance that never competes again after its name was used twice. */
        @Test
        void aFormerProcessAcquiresTheLeaseAfterItsSuccessorHasEnded() {
            former.tick();
            restarted.tick();
            tickUntil(nowMillis + 2 * LeaseKeeper.LEASE_MILLIS, former);

            assertThat(former.current()).isPresent();
        }

        /** Guards against an acquisition of a killed process that ends its successor's lease. */
        @Test
        void aLateAcquisitionOfAFormerProcessIsRejected() {
            formerConnection.failCommits(DelayingTable.Fault.LATE);
            former.tick();
            restarted.tick();
            Lease lease = restarted.current().orElseThrow();
            formerConnection.carryOutPending();
            restarted.tick();

            assertThat(restarted.current()).contains(lease);
            assertThat(writeUnder(lease).isCommitted()).isTrue();
        }

        /** Guards against a process that acts under an acquisition of its predecessor. */
        @Test
        void aLateAcquisitionOfAFormerProcessIsNotInherited() {
            formerConnection.failCommits(DelayingTable.Fault.LATE);
            former.tick();
            formerConnection.carryOutPending();
            Lease inherited = acquiredLease();
            restarted.tick();

            assertThat(writeUnder(inherited).isCommitted()).isFalse();
            assertThat(writeUnder(restarted.current().orElseThrow()).isCommitted()).isTrue();
        }
    }

    /** The lease of the last acquisition that was carried out. */
    private Lease acquiredLease() {
        RowKey epoch = RowKey.of("lease", "jobs", "epoch");
        return new Lease(
                Condition.unchanged(table.read(epoch).toCompletableFuture().join().orElseThrow()),
                0);
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

        /**
         * Guards against a fleet without an owner for the whole lease time, because the answer to
         * an acquisition was lost.
         */
        @Test
        void acquiresAgainAtOnceAfterALostAnswer() {
            connection.failCommits(DelayingTable.Fault.ANSWER_LOST);
            keeper.tick();
            assertThat(keeper.currentOrExpired()).isEmpty();
            Lease lost = acquiredLease();
            nowMillis += 350;
            keeper.tick();

            assertThat(writeUnder(keeper.current().orElseThrow()).isCommitted()).isTrue();
            assertThat(writeUnder(lost).isCommitted()).isFalse();
        }

        /** Guards against the same if the acquisition is carried out between two others. */
        @Test
        void acquiresAgainAtOnceAfterALateAcquisition() {
            connection.failCommits(DelayingTable.Fault.LATE);
            keeper.tick();
            connection.beforeNextCommit(connection::carryOutPending);
            keeper.tick();
            assertThat(keeper.currentOrExpired()).isEmpty();
            Lease late = acquiredLease();
            keeper.tick();

            assertThat(writeUnder(keeper.current().orElseThrow()).isCommitted()).isTrue();
            assertThat(writeUnder(late).isCommitted()).isFalse();
        }

        /** Guards against an acquisition that is carried out late and ends a newer one. */
        @Test
        void aLateAcquisitionIsRejectedAfterALaterOne() {
            connection.failCommits(DelayingTable.Fault.LATE);
            keeper.tick();
            keeper.tick();
            Lease lease = keeper.current().orElseThrow();
            connection.carryOutPending();
            keeper.tick();

            assertThat(keeper.current()).contains(lease);
            assertThat(writeUnder(lease).isCommitted()).isTrue();
        }

        /** Guards against an instance that takes the lease of another one as its own. */
        @Test
        void doesNotAcquireAgainAfterAnotherInstanceHasTakenTheLease() {
            connection.failCommits(DelayingTable.Fault.ANSWER_LOST);
            keeper.tick();
            second.tick();
            nowMillis += LeaseKeeper.LEASE_MILLIS;
            connection.beforeNextCommit(second::tick);
            keeper.tick();
            keeper.tick();

            assertThat(keeper.currentOrExpired()).isEmpty();
            assertThat(writeUnder(second.current().orElseThrow()).isCommitted()).isTrue();
        }

        /**
         * Guards against a fleet that stays without an owner while the acquisitions of one instance
         * are carried out but not answered: each of them changes the row, so that it never seems to
         * have expired to the others.
         */
        @Test
        void leavesTheLeaseToOthersIfItsAcquisitionsAreNotAnswered() {
            for (int i = 0; i < 100; i++) {
                connection.failCommits(DelayingTable.Fault.ANSWER_LOST);
            }
            for (int i = 0; i < 30 && second.current().isEmpty(); i++) {
                keeper.tick();
                second.tick();
                nowMillis += 350;
            }

            assertThat(second.current()).isPresent();
        }

        /** Guards against a release that is carried out late and frees a newer lease. */
        @Test
        void aLateReleaseIsRejectedAfterALaterAcquisition() {
            keeper.tick();
            Lease released = keeper.current().orElseThrow();
            connection.failCommits(DelayingTable.Fault.LATE);
            keeper.release();
            keeper.tick();
            Lease lease = keeper.current().orElseThrow();
            connection.carryOutPending();
            second.tick();
            keeper.tick();

            assertThat(second.currentOrExpired()).isEmpty();
            assertThat(keeper.current()).contains(lease);
            assertThat(writeUnder(released).isCommitted()).isFalse();
        }

        /** Guards against a tick that takes the lease back while its release is in flight. */
        @Test
        void doesNotAcquireWhileAReleaseIsInFlight() {
            keeper.tick();
            connection.failCommits(DelayingTable.Fault.SLOW);
            keeper.release();
            keeper.tick();
            connection.carryOutPending();
            second.tick();

            assertThat(keeper.currentOrExpired()).isEmpty();
            assertThat(second.current()).isPresent();
        }
    }
}
