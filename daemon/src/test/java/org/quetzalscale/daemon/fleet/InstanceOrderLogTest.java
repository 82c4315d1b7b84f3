package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;

final class InstanceOrderLogTest {
    private static final InstanceId FIRST = new InstanceId("m-1");
    private static final InstanceId SECOND = new InstanceId("m-2");
    private static final RowKey EPOCH = new RowKey("lease/fleet/epoch");

    private final InMemoryFeedTable table = new InMemoryFeedTable();
    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final List<InstanceId> sent = new ArrayList<>();
    private final RecordingTerm term = new RecordingTerm();

    /** A term that records who fenced it. */
    private static final class RecordingTerm implements WorkerSession.Term {
        String fencedBy = "";

        @Override
        public FleetScheduler scheduler() {
            throw new UnsupportedOperationException("not used by the record");
        }

        @Override
        public void planSoon() {}

        @Override
        public void fenced(String by) {
            fencedBy = by;
        }

        @Override
        public boolean ended() {
            return !fencedBy.isEmpty();
        }

        @Override
        public boolean jobsLoaded() {
            return true;
        }

        @Override
        public long pauses() {
            return 0;
        }
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InstanceOrderLog record(long fence) {
        LoopClock clock =
                new LoopClock(group.next(), TimeSource.system(), System::currentTimeMillis);
        FleetContext context =
                new FleetContext(
                        new InstanceId("node-1"),
                        clock,
                        table,
                        new FakeWorker(clock.loop()),
                        null,
                        null,
                        null,
                        new FleetContext.Times(3_000, 2_000, 120_000),
                        new FleetMetrics());
        return new InstanceOrderLog(context, new Condition(EPOCH, fence), term);
    }

    private Set<InstanceId> read(InstanceOrderLog record) {
        return record.read().toCompletableFuture().join();
    }

    /**
     * Guards against an order that the next owner does not know of, because it was sent before it
     * was recorded.
     */
    @Test
    void recordsBeforeItSends() {
        InstanceOrderLog record = record(Condition.ABSENT);
        record.recordThenSend(
                List.of(FIRST),
                () -> {
                    assertThat(read(record)).containsExactly(FIRST);
                    sent.add(FIRST);
                });
        record.recordThenSend(List.of(SECOND), () -> sent.add(SECOND));

        assertThat(sent).containsExactly(FIRST, SECOND);
        assertThat(read(record(Condition.ABSENT))).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** Guards against an owner that sends no orders while the store is unavailable. */
    @Test
    void sendsWhileTheStoreIsUnavailableAndRecordsLater() {
        InstanceOrderLog record = record(Condition.ABSENT);
        table.unavailable = true;
        record.recordThenSend(List.of(FIRST), () -> sent.add(FIRST));
        assertThat(sent).containsExactly(FIRST);
        table.unavailable = false;
        record.recordThenSend(List.of(SECOND), () -> sent.add(SECOND));
        assertThat(read(record)).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /**
     * Guards against an order that the next owner does not know of, because an older record that
     * got no answer was carried out after the newer one.
     */
    @Test
    void aLateRecordDoesNotReplaceANewerOne() {
        InstanceOrderLog record = record(Condition.ABSENT);
        table.holdNext(FleetRows.RECENT_ORDERS.value());
        record.recordThenSend(List.of(FIRST), () -> sent.add(FIRST));
        record.recordThenSend(List.of(SECOND), () -> sent.add(SECOND));
        table.releaseHeld();

        assertThat(sent).containsExactly(FIRST, SECOND);
        assertThat(read(record(Condition.ABSENT))).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** Guards against a record that is not written because the row was written before the term. */
    @Test
    void recordsAfterOtherOwners() {
        record(Condition.ABSENT).recordThenSend(List.of(FIRST), () -> sent.add(FIRST));
        InstanceOrderLog next = record(Condition.ABSENT);
        next.recordThenSend(List.of(SECOND), () -> sent.add(SECOND));

        assertThat(sent).containsExactly(FIRST, SECOND);
        assertThat(read(next)).containsExactly(SECOND);
    }

    /** Guards against orders of an owner that was replaced. */
    @Test
    void sendsNothingOnceAnotherOwnsTheFleet() {
        table.put(EPOCH.value(), "node-2");
        InstanceOrderLog record = record(Condition.ABSENT);
        record.recordThenSend(List.of(FIRST), () -> sent.add(FIRST));
        assertThat(sent).isEmpty();
        assertThat(term.fencedBy).isEqualTo("store");
    }
}
