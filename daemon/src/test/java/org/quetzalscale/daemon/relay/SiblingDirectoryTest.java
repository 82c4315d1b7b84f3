package org.quetzalscale.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.fleet.LoopClock;
import org.quetzalscale.net.EventLoops;

final class SiblingDirectoryTest {
    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final TimeSource time = TimeSource.system();

    /** A table that holds the given rows. */
    private record FixedRows(List<Row> rows) implements FeedTable {
        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return CompletableFuture.completedFuture(rows);
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return CompletableFuture.completedFuture(new RowSnapshot(rows, 1));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return CompletableFuture.completedFuture(CommitResult.committed(2));
        }

        @Override
        public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
            return new CompletableFuture<>();
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static Row row(String name, String value) {
        return new Row(new RowKey("nodes/fleet/" + name), 1, value);
    }

    private RelayedTable relayed(FeedTable direct) {
        return new RelayedTable(
                direct,
                group.next(),
                time,
                new RelayedTable.Limits(new CallRetryBudget(), Set.of(), () -> {}));
    }

    /** The directory of a weak instance. */
    private SiblingDirectory directory(RelayedTable table, OwnerPreference preference) {
        return new SiblingDirectory(
                new InstanceId("node-1"),
                new InetSocketAddress("127.0.0.1", 1),
                0.36,
                table,
                new LoopClock(group.next(), time, System::currentTimeMillis),
                preference);
    }

    /**
     * Guards against a reader of siblings that ends at a row of another format or with an invalid
     * name, and against a weak instance that does not learn of a strong one.
     */
    @Test
    void learnsTheCoresOfSiblingsBesideInvalidRows() throws Exception {
        OwnerPreference preference = new OwnerPreference(0.36);
        FixedRows rows =
                new FixedRows(
                        List.of(
                                row("node-1", "127.0.0.1:1:0.36"),
                                row("no name!", "127.0.0.1:2:8"),
                                row("node-3", "127.0.0.1:3"),
                                row("node-4", "127.0.0.1:4:1.5")));
        SiblingDirectory directory = directory(relayed(rows), preference);

        group.next().submit(directory::start).get();

        assertThat(preference.waitMillis()).isPositive();
        group.next().submit(directory::stop).get();
    }

    /** Guards against siblings that are not found because their addresses have colons. */
    @Test
    void readsSiblingsWithIpv6Addresses() throws Exception {
        OwnerPreference preference = new OwnerPreference(0.36);
        FixedRows rows = new FixedRows(List.of(row("node-4", "0:0:0:0:0:0:0:1:4:1.5")));
        SiblingDirectory directory = directory(relayed(rows), preference);

        group.next().submit(directory::start).get();

        assertThat(preference.waitMillis()).isPositive();
        group.next().submit(directory::stop).get();
    }

    /**
     * Guards against an owner that takes an instance for absent whose row it cannot read (TWICE):
     * that instance may take over while all others are cut off with the owner.
     */
    @Test
    void knowsNoLeaseViewsWhileTheRowOfASiblingIsUnreadable() throws Exception {
        FixedRows none = new FixedRows(List.of());
        RelayServer sibling =
                RelayServer.of(
                        new InetSocketAddress("127.0.0.1", 0),
                        group,
                        none,
                        relayed(none),
                        () -> new LeaseRow("node-1", 1));
        sibling.start();
        FixedRows rows =
                new FixedRows(
                        List.of(
                                row("node-2", "127.0.0.1:" + sibling.port() + ":1"),
                                row("node-3", "of another format")));
        RelayedTable table = relayed(rows);
        SiblingDirectory directory = directory(table, new OwnerPreference(1));
        group.next().submit(directory::start).get();

        CompletableFuture<Optional<List<LeaseView>>> views = new CompletableFuture<>();
        group.next().execute(() -> new RelayedLeaseViews(table).ask().thenAccept(views::complete));

        assertThat(views.get(5, TimeUnit.SECONDS)).isEmpty();
        group.next().submit(directory::stop).get();
        sibling.stop();
    }
}
