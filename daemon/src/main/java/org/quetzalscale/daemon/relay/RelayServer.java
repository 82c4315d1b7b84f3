package org.quetzalscale.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.daemon.fleet.OwnerService;
import org.quetzalscale.net.TcpListeners;
import org.quetzalscale.net.frame.FrameConnection;

/** Executes store calls on behalf of sibling instances that the store refuses. */
public final class RelayServer {
    /**
     * Maximum number of characters of keys and values in one frame; each takes up to 3 bytes in
     * UTF-8.
     */
    private static final int MAX_FRAME_CHARS = 200_000;

    private final InetSocketAddress bindAddress;
    private final EventLoopGroup group;
    private final FeedTable direct;
    private final Predicate<RelayFrame> canServe;
    private final Supplier<LeaseView> leaseView;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /**
     * Creates a server.
     *
     * @param group event loops, owned by the caller
     * @param direct this instance's own client of the store, so that no call is relayed twice
     * @param canServe whether the store serves this instance for the call; other calls fail
     *     immediately
     * @param leaseView what this instance knows of the fleet's lease
     */
    RelayServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            FeedTable direct,
            Predicate<RelayFrame> canServe,
            Supplier<LeaseView> leaseView) {
        this.bindAddress = bindAddress;
        this.group = group;
        this.direct = direct;
        this.canServe = canServe;
        this.leaseView = leaseView;
    }

    /**
     * Creates a server that executes the calls for which the table reaches the store directly.
     *
     * @param leaseRow the row of the fleet's lease as this instance has read it last
     */
    public static RelayServer of(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            FeedTable direct,
            RelayedTable table,
            Supplier<LeaseRow> leaseRow) {
        return new RelayServer(
                bindAddress,
                group,
                direct,
                call -> isDirect(table, call),
                () -> viewOf(leaseRow.get(), table));
    }

    private static LeaseView viewOf(LeaseRow row, RelayedTable table) {
        boolean responds = table.isDirect(OwnerService.LEASE_KEY.value());
        return new LeaseView(responds, row.holder(), row.renewals());
    }

    private static boolean isDirect(RelayedTable table, RelayFrame call) {
        if (call instanceof RelayFrame.Read read) {
            return table.isDirect(read.key().value());
        } else if (call instanceof RelayFrame.Scan scan) {
            return table.isDirect(scan.prefix());
        } else if (call instanceof RelayFrame.Commit commit) {
            return table.isDirect(commit.transaction().mutations().get(0).key().value());
        }
        return !(call instanceof RelayFrame.Feed feed) || table.isDirectFeed(feed.table());
    }

    /** Starts to listen. */
    public void start() {
        listener = TcpListeners.listen(group, bindAddress, true, this::accept);
    }

    /** The port that the server listens on. */
    public int port() {
        return TcpListeners.port(listener);
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        listener.close().syncUninterruptibly();
        channels.close().awaitUninterruptibly();
    }

    private void accept(SocketChannel channel) {
        channels.add(channel);
        AtomicReference<FrameConnection<RelayFrame>> connection = new AtomicReference<>();
        connection.set(RelayCodec.install(channel, frame -> handle(frame, connection.get())));
    }

    private void handle(RelayFrame frame, FrameConnection<RelayFrame> connection) {
        if (frame instanceof RelayFrame.ViewLease) {
            connection.send(new RelayFrame.LeaseViewed(frame.callId(), leaseView.get()));
            return;
        }
        if (!canServe.test(frame)) {
            connection.send(
                    new RelayFrame.Failed(
                            frame.callId(),
                            ErrorKind.STORE_UNAVAILABLE,
                            "the store does not answer the sibling"));
            return;
        }
        long callId = frame.callId();
        if (frame instanceof RelayFrame.Read read) {
            reply(
                    direct.read(read.key()),
                    connection,
                    callId,
                    row -> sendRows(connection, callId, toChangedRows(row.stream().toList()), 0));
        } else if (frame instanceof RelayFrame.Scan scan) {
            reply(
                    direct.snapshot(scan.prefix()),
                    connection,
                    callId,
                    found ->
                            sendRows(
                                    connection,
                                    callId,
                                    toChangedRows(found.rows()),
                                    found.version()));
        } else if (frame instanceof RelayFrame.Feed feed) {
            reply(
                    direct.changesAfter(feed.table(), feed.version(), feed.waitMillis()),
                    connection,
                    callId,
                    changes -> sendRows(connection, callId, changes.rows(), changes.version()));
        } else if (frame instanceof RelayFrame.Commit commit) {
            reply(
                    direct.commit(commit.transaction()),
                    connection,
                    callId,
                    result -> connection.send(new RelayFrame.Committed(callId, result)));
        } else {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_FRAME, "received a reply instead of a call");
        }
    }

    private static <T> void reply(
            CompletionStage<T> call,
            FrameConnection<RelayFrame> connection,
            long callId,
            Consumer<T> sender) {
        call.whenComplete(
                (value, failure) -> {
                    if (failure == null) {
                        sender.accept(value);
                        return;
                    }
                    QuetzalscaleException error = QuetzalscaleException.from(failure);
                    connection.send(
                            new RelayFrame.Failed(callId, error.kind(), error.getMessage()));
                });
    }

    /** Sends rows, split into several frames if necessary. */
    private static void sendRows(
            FrameConnection<RelayFrame> connection,
            long callId,
            List<ChangedRow> rows,
            long version) {
        List<ChangedRow> frameRows = new ArrayList<>();
        int chars = 0;
        for (ChangedRow row : rows) {
            int size = row.key().value().length() + row.value().map(String::length).orElse(0);
            if (!frameRows.isEmpty() && chars + size > MAX_FRAME_CHARS) {
                connection.send(new RelayFrame.Rows(callId, frameRows, version, false));
                frameRows.clear();
                chars = 0;
            }
            frameRows.add(row);
            chars += size;
        }
        connection.send(new RelayFrame.Rows(callId, frameRows, version, true));
    }

    private static List<ChangedRow> toChangedRows(List<Row> rows) {
        return rows.stream()
                .map(row -> new ChangedRow(row.key(), row.version(), Optional.of(row.value())))
                .toList();
    }
}
