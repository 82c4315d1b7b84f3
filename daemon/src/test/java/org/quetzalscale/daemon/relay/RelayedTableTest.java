package org.quetzalscale.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.retry.CallRetryBudget;
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

/** Two instances with one store, which refuses one of them. */
final class RelayedTableTest {
    private static final RowKey KEY = new RowKey("jobs/fleet/a");
    private static final InstanceId SIBLING = new InstanceId("node-2");

    private volatile int refusedRelays;
    private final InMemoryTable rows = new InMemoryTable();
    private final StoreConnection ownConnection = new StoreConnection();
    private final StoreConnection siblingConnection = new StoreConnection();
    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final EventLoop loop = group.next();
    private final RelayedTable table =
            new RelayedTable(
                    ownConnection,
                    loop,
                    TimeSource.system(),
                    new RelayedTable.Limits(
                            new CallRetryBudget(), Set.of("lease"), () -> refusedRelays++));
    private volatile boolean siblingCanServe = true;
    private final RelayServer server =
            new RelayServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    group,
                    siblingConnection,
                    call -> siblingCanServe,
                    () -> new LeaseView(false, "node-1", 7));

    /** One instance's connection to the store. */
    private final class StoreConnection implements FeedTable {
        volatile ErrorKind errorKind;
        volatile int calls;

        /** Reply of the change feed that the test completes; null for an immediate reply. */
        volatile CompletableFuture<Changes> feedReply;

        private <T> CompletionStage<T> forward(Supplier<CompletionStage<T>> call) {
            calls++;
            return errorKind == null
                    ? call.get()
                    : CompletableFuture.failedFuture(
                            new QuetzalscaleException(errorKind, "refused"));
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return forward(() -> rows.read(key));
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return forward(() -> rows.scan(prefix));
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return scan(prefix).thenApply(found -> new RowSnapshot(found, rows.version()));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return forward(() -> rows.commit(transaction));
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            return forward(
                    () ->
                            feedReply != null
                                    ? feedReply
                                    : CompletableFuture.completedFuture(
                                            new Changes(List.of(), version)));
        }
    }

    @BeforeEach
    void start() {
        server.start();
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        loop.submit(() -> table.updateSiblings(Map.of(SIBLING, address), true))
                .syncUninterruptibly();
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

    /** Guards against rejecting submissions while a sibling can reach the store. */
    @Test
    void commitsAndReadsThroughTheSibling() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;

        CommitResult written = put("text");

        assertThat(written.isCommitted()).isTrue();
        assertThat(call(() -> table.read(KEY))).contains(new Row(KEY, written.version(), "text"));
        assertThat(call(() -> table.read(new RowKey("jobs/fleet/b")))).isEmpty();
        assertThat(call(() -> table.changesAfter("jobs", 7, 10)).version()).isEqualTo(7);
        assertThat(table.isDirect(KEY.value())).isFalse();
    }

    /** Guards against taking a sibling that cannot be reached for one that does not run (TWICE). */
    @Nested
    final class LeaseViews {
        private final RelayedLeaseViews views = new RelayedLeaseViews(table);

        @Test
        void areThoseOfTheSiblings() {
            assertThat(call(views::ask)).contains(List.of(new LeaseView(false, "node-1", 7)));
        }

        @Test
        void areUnknownIfASiblingRefusesTheConnection() {
            server.stop();

            assertThat(call(views::ask)).isEmpty();
        }

        @Test
        void areUnknownIfASiblingDoesNotAnswer() throws IOException {
            try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                InetSocketAddress address =
                        new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort());
                loop.submit(() -> table.updateSiblings(Map.of(SIBLING, address), true))
                        .syncUninterruptibly();

                assertThat(call(views::ask)).isEmpty();
            }
        }

        @Test
        void areUnknownBeforeTheSiblingsAreRead() {
            RelayedTable unread =
                    new RelayedTable(
                            ownConnection,
                            loop,
                            TimeSource.system(),
                            new RelayedTable.Limits(new CallRetryBudget(), Set.of(), () -> {}));

            assertThat(call(new RelayedLeaseViews(unread)::ask)).isEmpty();
        }
    }

    /** Guards against treating a relayed conflict as success or as an outage. */
    @Test
    void relaysConflicts() {
        put("text");
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        Transaction insertion = Transaction.builder().insert(KEY, "other").build();
        assertThat(call(() -> table.commit(insertion)).conflict()).contains(KEY);
    }

    /** Guards against results that do not fit into one frame. */
    @Test
    void readsMoreRowsThanFitIntoAFrame() {
        String text = "x".repeat(50_000);
        for (int i = 0; i < 40; i++) {
            RowKey key = new RowKey("jobs/fleet/" + i);
            rows.commit(new Transaction(List.<Condition>of(), List.of(put(key, text))));
        }
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;

        RowSnapshot snapshot = call(() -> table.snapshot("jobs/fleet/"));

        assertThat(snapshot.rows()).hasSize(40);
        assertThat(snapshot.version()).isEqualTo(40);
        assertThat(snapshot.rows()).allMatch(row -> row.value().equals(text));
    }

    private static org.quetzalscale.core.table.Mutation put(RowKey key, String text) {
        return org.quetzalscale.core.table.Mutation.put(key, text);
    }

    /** Guards against committing a transaction twice. */
    @Test
    void doesNotRetryATransactionThatMayHaveCommitted() {
        ownConnection.errorKind = ErrorKind.STORE_OUTCOME_UNKNOWN;
        assertThatThrownBy(() -> put("text"))
                .hasRootCauseMessage("refused")
                .rootCause()
                .extracting(failure -> QuetzalscaleException.from(failure).kind())
                .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        assertThat(siblingConnection.calls).isZero();
        assertThat(put("text").isCommitted()).as("the next call goes through the sibling").isTrue();
    }

    /** Guards against waiting for siblings during an outage that affects all instances. */
    @Test
    void failsAtOnceWhenNoSiblingReachesTheStore() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        siblingCanServe = false;
        long startNanos = System.nanoTime();
        assertThatThrownBy(() -> put("text")).hasStackTraceContaining("does not answer");
        int calls = ownConnection.calls;
        assertThatThrownBy(() -> put("text"))
                .rootCause()
                .extracting(failure -> QuetzalscaleException.from(failure).kind())
                .as("the call was not sent, so nothing was committed")
                .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(ownConnection.calls).isEqualTo(calls);
        assertThat(table.isUnavailableToAll()).isTrue();
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(2));
    }

    /** Guards against rejecting or relaying calls for partitions that the store still serves. */
    @Test
    void keepsOtherPartitionsOnTheDirectRoute() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        ownConnection.errorKind = null;
        RowKey other = new RowKey("servers//i-1");
        call(() -> table.read(other));
        assertThat(table.isDirect(other.value())).isTrue();
        assertThat(table.isDirect(KEY.value())).isFalse();
    }

    /** Guards against an instance that keeps relaying after the store responds to it again. */
    @Test
    void returnsToTheDirectRoute() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        ownConnection.errorKind = null;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!table.isDirect(KEY.value())) {
            call(() -> table.read(KEY));
            assertThat(System.nanoTime()).isLessThan(deadline);
        }
    }

    /**
     * Guards against an update of the siblings that fails for good after one left during a call.
     */
    @Test
    void removesASiblingThatLeavesDuringACall() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        CompletableFuture<Changes> feedReply = new CompletableFuture<>();
        siblingConnection.feedReply = feedReply;
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        loop.execute(
                () ->
                        table.changesAfter("jobs", 1, 1_000)
                                .whenComplete((changes, cause) -> failure.complete(cause)));
        loop.submit(() -> table.updateSiblings(Map.of(), true)).syncUninterruptibly();
        failure.orTimeout(10, TimeUnit.SECONDS).join();

        assertThat(
                        loop.submit(() -> table.updateSiblings(Map.of(), true))
                                .awaitUninterruptibly()
                                .isSuccess())
                .isTrue();
    }

    /**
     * Guards against hanging calls when the sibling has stopped: its connection breaks or is
     * refused.
     */
    @Test
    void failsWhenTheSiblingHasStopped() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        put("text");
        server.stop();
        assertThatThrownBy(() -> put("text")).isInstanceOf(Exception.class);
        assertThat(table.isUnavailableToAll()).as("another instance may reach the store").isFalse();
    }

    /** Guards against calls that overload multiplies: a full store refuses siblings as well. */
    @Test
    void doesNotMultiplyCallsWhenTheStoreRefusesAll() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        siblingConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        for (int i = 0; i < 50; i++) {
            assertThatThrownBy(() -> put("text")).isInstanceOf(Exception.class);
        }
        assertThat(ownConnection.calls + siblingConnection.calls).isLessThan(10);
        assertThat(refusedRelays).isEqualTo(siblingConnection.calls);
    }

    /** Guards against an instance that its siblings no longer help: only this one is refused. */
    @Test
    void helpsAnInstanceThatIsRefusedAloneWithEachCall() {
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        for (int i = 0; i < 100; i++) {
            assertThat(put("text").isCommitted()).isTrue();
        }
        assertThat(refusedRelays).isZero();
    }

    /** Guards against a lease that expires because other calls found the store full. */
    @Test
    void sendsUrgentCallsDirectlyWhenNoSiblingHelps() {
        siblingCanServe = false;
        RowKey lease = new RowKey("lease/fleet");
        ownConnection.errorKind = ErrorKind.STORE_UNAVAILABLE;
        assertThatThrownBy(() -> put("text")).isInstanceOf(Exception.class);
        ownConnection.errorKind = null;
        assertThat(call(() -> table.read(lease))).isEmpty();
    }
}
