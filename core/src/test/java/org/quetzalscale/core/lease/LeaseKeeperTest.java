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

    private void tickBothUntil(long endMillis, LeaseKeeper... alive) {
        while (nowMillis < endMillis) {
            nowMillis += LeaseKeeper.RENEW_MILLIS;
            for (LeaseKeeper keeper : alive) {
                keeper.tick();
            }
        }
    }

    @Nested
    class Exclusion {
        @Test
        void aRenewedLeaseIsNotTakenOver() {
            first.tick();
            tickBothUntil(60_000, first, second);
            assertThat(first.current()).isPresent();
            assertThat(second.current()).isEmpty();
        }

        @Test
        void renewalKeepsTheFence() {
            first.tick();
            Lease lease = first.current().orElseThrow();
            tickBothUntil(10_000, first);
            assertThat(writeUnder(lease).isCommitted()).isTrue();
        }

        /** Guards against a paused former holder whose late write takes effect. */
        @Test
        void aPausedHolderIsFencedAfterTakeover() {
            first.tick();
            Lease paused = first.current().orElseThrow();
            tickBothUntil(2 * LeaseKeeper.LEASE_MILLIS, second);
            assertThat(second.current()).isPresent();
            assertThat(writeUnder(paused).isCommitted()).isFalse();
            assertThat(writeUnder(second.current().get()).isCommitted()).isTrue();
            first.tick();
            assertThat(first.current()).isEmpty();
        }
    }

    @Nested
    class HandOver {
        @Test
        void aReleasedLeaseIsTakenAtOnce() {
            first.tick();
            first.release();
            second.tick();
            assertThat(first.current()).isEmpty();
            assertThat(second.current()).isPresent();
        }

        /** Guards against two holders after a restart that reuses an instance id. */
        @Test
        void aRestartedProcessDoesNotContinueTheLeaseOfItsFormerRun() {
            first.tick();
            Lease former = first.current().orElseThrow();
            LeaseKeeper restarted = keeper("instance-1");
            restarted.tick();
            assertThat(restarted.current()).isEmpty();
            tickBothUntil(2 * LeaseKeeper.LEASE_MILLIS, restarted);
            assertThat(restarted.current()).isPresent();
            assertThat(writeUnder(former).isCommitted()).isFalse();
        }
    }
}
