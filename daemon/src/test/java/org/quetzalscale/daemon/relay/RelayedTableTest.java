package org.quetzalscale.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;

/** Two instances before one store, which refuses one of them. */
final class RelayedTableTest {
    private static final RowKey KEY = new RowKey("jobs/fleet/a");
    private static final InstanceId SIBLING = new InstanceId("node-2");

    private final InMemoryTable rows = new InMemoryTable();
    private final Door ownDoor = new Door();
    private final Door siblingDoor = new Door();
    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final EventLoop loop = group.next();
    private final RelayedTable table = new RelayedTable(ownDoor, loop, TimeSource.system());
    private volatile boolean siblingServes = true;
    private final RelayServer server =
            new RelayServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    group,
                    siblingDoor,
                    call -> siblingServes);

    /** One instance's way to the store. */
    private final class Door implements FeedTable {
        volatile ErrorKind refusal;
        volatile int calls;

        /** An answer that does not come by itself. */
        volatile CompletableFuture<Changes> waiting;

        private <T> CompletionStage<T> pass(Supplier<CompletionStage<T>> call) {
            calls++;
            return refusal == null
                    ? call.get()
                    : CompletableFuture.failedFuture(new QuetzalscaleException(refusal, "refused"));
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return pass(() -> rows.read(key));
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return pass(() -> rows.scan(prefix));
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return scan(prefix).thenApply(found -> new RowSnapshot(found, rows.version()));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return pass(() -> rows.commit(transaction));
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            return pass(
                    () ->
                            waiting != null
                                    ? waiting
                                    : CompletableFuture.completedFuture(
                                            new Changes(List.of(), version)));
        }
    }

    @BeforeEach
    void start() {
        server.start();
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        loop.submit(() -> table.siblings(Map.of(SIBLING, address))).syncUninterruptibly();
    }

    @AfterEach
    void stop() {
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T call(Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(
                () ->
                        call.get()
                                .whenComplete(
                                        (value, failure) -> {
                                            if (failure == null) {
                                                result.complete(value);
                                            } else {
                                                result.completeExceptionally(failure);
                                            }
                                        }));
        return result.orTimeout(10, TimeUnit.SECONDS).join();
    }

    private CommitResult put(String value) {
        return call(() -> table.commit(Transaction.builder().put(KEY, value).build()));
    }

    /** Guards against submissions that an instance refuses though its siblings could take them. */
    @Test
    void commitsAndReadsThroughTheSibling() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;

        CommitResult written = put("text");

        assertThat(written.isCommitted()).isTrue();
        assertThat(call(() -> table.read(KEY))).contains(new Row(KEY, written.version(), "text"));
        assertThat(call(() -> table.read(new RowKey("jobs/fleet/b")))).isEmpty();
        assertThat(call(() -> table.changesAfter("jobs", 7, 10)).version()).isEqualTo(7);
        assertThat(table.isDirect(KEY.value())).isFalse();
    }

    /** Guards against a conflict that is taken for success, or for a store that is away. */
    @Test
    void passesConflictsOn() {
        put("text");
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        Transaction insertion = Transaction.builder().insert(KEY, "other").build();
        assertThat(call(() -> table.commit(insertion)).conflict()).contains(KEY);
    }

    /** Guards against lists that do not fit into one frame. */
    @Test
    void readsMoreRowsThanFitIntoAFrame() {
        String text = "x".repeat(50_000);
        for (int i = 0; i < 40; i++) {
            RowKey key = new RowKey("jobs/fleet/" + i);
            rows.commit(new Transaction(List.<Condition>of(), List.of(put(key, text))));
        }
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;

        RowSnapshot snapshot = call(() -> table.snapshot("jobs/fleet/"));

        assertThat(snapshot.rows()).hasSize(40);
        assertThat(snapshot.version()).isEqualTo(40);
        assertThat(snapshot.rows()).allMatch(row -> row.value().equals(text));
    }

    private static org.quetzalscale.core.table.Mutation put(RowKey key, String text) {
        return org.quetzalscale.core.table.Mutation.put(key, text);
    }

    /** Guards against a transaction that is carried out twice. */
    @Test
    void sendsNoTransactionAgainThatMayHaveBeenCarriedOut() {
        ownDoor.refusal = ErrorKind.STORE_OUTCOME_UNKNOWN;
        assertThatThrownBy(() -> put("text"))
                .hasRootCauseMessage("refused")
                .rootCause()
                .extracting(failure -> QuetzalscaleException.from(failure).kind())
                .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        assertThat(siblingDoor.calls).isZero();
        assertThat(put("text").isCommitted()).as("the next call takes the other way").isTrue();
    }

    /** Guards against waiting for siblings that can not help while the store is away for all. */
    @Test
    void failsAtOnceWhenNoSiblingReachesTheStore() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        siblingServes = false;
        long begun = System.nanoTime();
        assertThatThrownBy(() -> put("text")).hasStackTraceContaining("does not answer");
        int calls = ownDoor.calls;
        assertThatThrownBy(() -> put("text"))
                .rootCause()
                .extracting(failure -> QuetzalscaleException.from(failure).kind())
                .as("it was not sent, and so was not carried out")
                .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(ownDoor.calls).isEqualTo(calls);
        assertThat(table.isUnavailableToAll()).isTrue();
        assertThat(System.nanoTime() - begun).isLessThan(TimeUnit.SECONDS.toNanos(2));
    }

    /** Guards against refusals of all calls while the store serves some parts of its tables. */
    @Test
    void keepsOtherPartsOnTheirOwnWay() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        ownDoor.refusal = null;
        RowKey other = new RowKey("servers//i-1");
        call(() -> table.read(other));
        assertThat(table.isDirect(other.value())).isTrue();
        assertThat(table.isDirect(KEY.value())).isFalse();
    }

    /** Guards against an instance that stays on the detour when the store answers it again. */
    @Test
    void returnsToItsOwnWay() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        ownDoor.refusal = null;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!table.isDirect(KEY.value())) {
            call(() -> table.read(KEY));
            assertThat(System.nanoTime()).isLessThan(deadline);
        }
    }

    /** Guards against a list of siblings that is never read again after one left during a call. */
    @Test
    void forgetsASiblingThatLeavesDuringACall() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        CompletableFuture<Changes> waiting = new CompletableFuture<>();
        siblingDoor.waiting = waiting;
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        loop.execute(
                () ->
                        table.changesAfter("jobs", 1, 1_000)
                                .whenComplete((changes, refusal) -> failure.complete(refusal)));
        loop.submit(() -> table.siblings(Map.of())).syncUninterruptibly();
        failure.orTimeout(10, TimeUnit.SECONDS).join();

        assertThat(loop.submit(() -> table.siblings(Map.of())).awaitUninterruptibly().isSuccess())
                .isTrue();
    }

    /** Guards against a sibling that ended: its connection breaks or is refused. */
    @Test
    void failsWhenTheSiblingHasEnded() {
        ownDoor.refusal = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        server.stop();
        assertThatThrownBy(() -> put("text")).isInstanceOf(Exception.class);
        assertThat(table.isUnavailableToAll()).as("another instance may reach the store").isFalse();
    }
}
