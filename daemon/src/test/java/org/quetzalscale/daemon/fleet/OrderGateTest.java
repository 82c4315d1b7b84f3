package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;

/** Orders of a process that is frozen, in virtual time. */
final class OrderGateTest implements WorkerSession.Term {
    private static final RowKey EPOCH = new RowKey("lease/fleet/epoch");
    private static final long FREEZE_MILLIS = 3_000;

    private final VirtualLoop loop = new VirtualLoop();
    private final SimulatedProcess process = new SimulatedProcess(loop);
    private final SimulatedStore store = new SimulatedStore(loop, new Random(1));
    private final List<String> sent = new ArrayList<>();
    private long wallClockStepMillis;
    private boolean fenced;
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
        gate = new OrderGate(table, clock, new Condition(EPOCH, version), this);
        gate.start();
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

    private void order(String name) {
        process.run(
                () ->
                        gate.send(
                                () -> {
                                    sent.add(name);
                                    return CompletableFuture.completedFuture(name);
                                }));
    }

    /** Guards against a delay of orders while nothing is wrong. */
    @Test
    void sendsAtOnceWithoutAPause() {
        loop.runUntil(10_000);
        order("start");

        assertThat(sent).containsExactly("start");
    }

    /** Guards against an order that a paused owner sends after another instance took the lease. */
    @Test
    void discardsOrdersIfTheLeaseWasTakenDuringAPause() {
        loop.runUntil(5_000);
        process.freeze(FREEZE_MILLIS);
        order("start");
        loop.after(1_000, () -> store.put(EPOCH.value(), "node-2"));
        loop.runUntil(10_000);

        assertThat(sent).isEmpty();
        assertThat(fenced).isTrue();
    }

    /** Guards against orders that are lost although the lease is still held after a pause. */
    @Test
    void sendsInOrderOnceTheLeaseIsConfirmed() {
        loop.runUntil(5_000);
        process.freeze(FREEZE_MILLIS);
        order("start");
        order("stop");
        loop.runUntil(5_000 + FREEZE_MILLIS);
        assertThat(sent).isEmpty();
        loop.runUntil(10_000);

        assertThat(sent).containsExactly("start", "stop");
        assertThat(fenced).isFalse();
    }

    /** Guards against orders that pass after a pause because the store cannot be asked. */
    @Test
    void waitsWhileTheStoreIsAway() {
        loop.runUntil(5_000);
        store.unavailable = true;
        process.freeze(FREEZE_MILLIS);
        order("start");
        loop.runUntil(12_000);
        assertThat(sent).isEmpty();

        store.unavailable = false;
        loop.runUntil(13_000);
        assertThat(sent).containsExactly("start");
    }

    /** Guards against a suspension in which the monotonic clock stands still. */
    @Test
    void noticesASuspensionByTheWallClock() {
        loop.runUntil(5_000);
        wallClockStepMillis = 4_000;
        order("start");

        assertThat(sent).isEmpty();
        loop.runUntil(6_000);
        assertThat(sent).containsExactly("start");
    }
}
