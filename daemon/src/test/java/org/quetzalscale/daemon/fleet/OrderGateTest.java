package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.lease.TermValidity;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;

/** Orders of a process that is frozen, in virtual time. */
final class OrderGateTest implements WorkerSession.Term {
    private static final RowKey EPOCH = new RowKey("lease/fleet/epoch");
    private static final InstanceId SELF = new InstanceId("node-1");
    private static final long RENEW_INTERVAL_MILLIS = 350;
    private static final long FREEZE_MILLIS = 3_000;

    private final VirtualLoop loop = new VirtualLoop();
    private final SimulatedProcess process = new SimulatedProcess(loop);
    private final SimulatedStore store = new SimulatedStore(loop, new Random(1));
    private final List<String> sent = new ArrayList<>();
    private long wallClockStepMillis;
    private boolean fenced;
    private CompletableFuture<Void> operatorRead = CompletableFuture.completedFuture(null);
    private TermValidity validity;
    private OrderGate gate;

    @BeforeEach
    void startTerm() {
        store.put(EPOCH.value(), "node-1");
        long version = store.rows(EPOCH.value()).get(0).version();
        LoopClock clock =
                new LoopClock(
                        loop.executor(process::run),
                        loop::nowMillis,
                        () -> loop.nowMillis() + wallClockStepMillis);
        FeedTable table = store.clientFor(process);
        validity = new TermValidity(SELF, 0, loop.nowMillis());
        gate =
                new OrderGate(
                        table,
                        clock,
                        new Condition(EPOCH, version),
                        validity,
                        this,
                        () -> operatorRead);
        gate.start();
        renewPeriodically();
    }

    /** Renews the lease while the store is available, as the owner's service does. */
    private void renewPeriodically() {
        process.run(
                () -> {
                    long askedMillis = loop.nowMillis();
                    store.clientFor(process)
                            .read(EPOCH)
                            .thenAccept(row -> validity.confirm(askedMillis));
                    loop.after(RENEW_INTERVAL_MILLIS, this::renewPeriodically);
                });
    }

    /** Tells at intervals that no sibling reaches the store. */
    private void siblingsReportAnOutage() {
        LeaseView view = new LeaseView(false, SELF.value(), 0);
        process.run(
                () -> {
                    validity.siblingsAnswered(Optional.of(List.of(view)), loop.nowMillis());
                    loop.after(RENEW_INTERVAL_MILLIS, this::siblingsReportAnOutage);
                });
    }

    @Override
    public FleetScheduler scheduler() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void planSoon() {}

    @Override
    public void fenced(String by) {
        fenced = true;
        gate.stop();
    }

    @Override
    public boolean ended() {
        return fenced;
    }

    @Override
    public boolean jobsLoaded() {
        return true;
    }

    @Override
    public long pauses() {
        return 0;
    }

    private void order(String name) {
        process.run(
                () -> {
                    if (gate.isOpen()) {
                        sent.add(name);
                    }
                });
    }

    /** Guards against a delay of orders while nothing is wrong. */
    @Test
    void passesOrdersWithoutAPause() {
        loop.runUntil(10_000);
        order("start");

        assertThat(sent).containsExactly("start");
    }

    /** Guards against an order that a paused owner sends after another instance took the lease. */
    @Test
    void endsTheTermIfTheLeaseWasTakenDuringAPause() {
        loop.runUntil(5_000);
        process.freeze(FREEZE_MILLIS);
        order("start");
        loop.after(1_000, () -> store.put(EPOCH.value(), "node-2"));
        loop.runUntil(10_000);

        assertThat(sent).isEmpty();
        assertThat(fenced).isTrue();
    }

    /**
     * Guards against an order from before a pause that is sent after later decisions, and against
     * an owner that sends nothing any more although it still holds the lease.
     */
    @Test
    void passesOnlyOrdersAfterTheConfirmation() {
        loop.runUntil(5_000);
        process.freeze(FREEZE_MILLIS);
        order("before");
        loop.runUntil(10_000);
        order("after");

        assertThat(sent).containsExactly("after");
        assertThat(fenced).isFalse();
    }

    /** Guards against orders that pass after a pause because the store cannot be asked. */
    @Test
    void staysClosedWhileTheStoreIsAway() {
        loop.runUntil(5_000);
        store.unavailable = true;
        process.freeze(FREEZE_MILLIS);
        order("first");
        loop.runUntil(12_000);
        order("second");
        store.unavailable = false;
        loop.runUntil(13_000);
        order("third");

        assertThat(sent).containsExactly("third");
    }

    /**
     * Guards against a former owner that prolongs runs which the present one takes for ended: it
     * was paused while its lease was taken, and renews a worker that the present owner cannot call.
     */
    @Test
    void permitsNoLeaseExtensionBeforeTheLeaseIsConfirmed() {
        loop.runUntil(5_000);
        assertThat(gate.permitsLeaseExtension()).isTrue();
        process.freeze(FREEZE_MILLIS);
        loop.runUntil(5_000 + FREEZE_MILLIS - 1);
        List<Boolean> permitted = new ArrayList<>();
        process.run(() -> permitted.add(gate.permitsLeaseExtension()));
        loop.runUntil(10_000);
        process.run(() -> permitted.add(gate.permitsLeaseExtension()));

        assertThat(permitted).containsExactly(false, true);
    }

    /** Guards against work that ends while the store is away, because its owner was paused once. */
    @Test
    void permitsLeaseExtensionsWhileTheStoreStaysAwayForAll() {
        loop.runUntil(5_000);
        store.unavailable = true;
        siblingsReportAnOutage();
        process.freeze(FREEZE_MILLIS);
        order("notices the pause");
        loop.runUntil(10_000);

        assertThat(gate.isOpen()).isFalse();
        assertThat(gate.permitsLeaseExtension()).isTrue();
    }

    /** Guards against starts that end because the store is away for all. */
    @Test
    void passesOrdersWhileTheStoreIsAwayForAll() {
        loop.runUntil(5_000);
        store.unavailable = true;
        siblingsReportAnOutage();
        loop.runUntil(10_000);
        order("start");

        assertThat(sent).containsExactly("start");
    }

    /**
     * Guards against a former owner that goes on (TWICE): nothing tells it whether the store is
     * away for all or another instance has taken over.
     */
    @Test
    void permitsNothingWithoutTheStoreAndTheSiblings() {
        loop.runUntil(5_000);
        store.unavailable = true;
        loop.runUntil(5_000 + TermValidity.DURATION_MILLIS);
        order("start");

        assertThat(sent).isEmpty();
        assertThat(gate.permitsLeaseExtension()).isFalse();
    }

    /** Guards against a second suspension that passes unnoticed before the first is confirmed. */
    @Test
    void permitsNoLeaseExtensionAfterASecondSuspension() {
        loop.runUntil(5_000);
        store.unavailable = true;
        siblingsReportAnOutage();
        loop.runUntil(5_100);
        wallClockStepMillis = 4_000;
        assertThat(gate.permitsLeaseExtension()).as("after the first").isFalse();
        loop.runUntil(6_000);
        assertThat(gate.permitsLeaseExtension()).as("confirmed by siblings").isTrue();

        wallClockStepMillis = 8_000;
        assertThat(gate.permitsLeaseExtension()).as("after the second").isFalse();
    }

    /** Guards against starts in a zone that operators evacuate since a moment of the pause. */
    @Test
    void staysClosedUntilItIsReadWhatOperatorsWrote() {
        loop.runUntil(5_000);
        operatorRead = new CompletableFuture<>();
        process.freeze(FREEZE_MILLIS);
        order("first");
        loop.runUntil(9_000);
        order("second");
        operatorRead.complete(null);
        order("third");

        assertThat(sent).containsExactly("third");
    }

    /** Guards against a suspension in which the monotonic clock stands still. */
    @Test
    void noticesASuspensionByTheWallClock() {
        loop.runUntil(5_000);
        wallClockStepMillis = 4_000;
        order("before");
        loop.runUntil(6_000);
        order("after");

        assertThat(sent).containsExactly("after");
    }
}
