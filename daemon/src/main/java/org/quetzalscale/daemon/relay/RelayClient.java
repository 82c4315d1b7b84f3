package org.quetzalscale.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.net.frame.FrameConnection;

/**
 * Store client that sends its calls through one sibling, over one connection. All methods run on
 * one event loop.
 *
 * <p>A call that may have reached the sibling fails with STORE_OUTCOME_UNKNOWN if no reply arrives.
 */
final class RelayClient implements FeedTable {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Longer than the sibling's own time limit for calls to the store. */
    private static final int CALL_TIMEOUT_MILLIS = 900;

    private static final int SCAN_TIMEOUT_MILLIS = 3_500;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private FrameConnection<RelayFrame> connection;
    private CompletableFuture<FrameConnection<RelayFrame>> pendingConnection;
    private long lastCallId;

    RelayClient(InetSocketAddress address, EventLoop loop) {
        this.address = address;
        this.loop = loop;
    }

    /** A call whose reply is not complete yet. */
    private static final class PendingCall {
        final CompletableFuture<RelayFrame> reply = new CompletableFuture<>();
        final List<ChangedRow> rows = new ArrayList<>();
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return callForRows(callId -> new RelayFrame.Read(callId, key), CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> existingRows(reply).stream().findFirst());
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return snapshot(prefix).thenApply(RowSnapshot::rows);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return callForRows(callId -> new RelayFrame.Scan(callId, prefix), SCAN_TIMEOUT_MILLIS)
                .thenApply(reply -> new RowSnapshot(existingRows(reply), reply.version()));
    }

    @Override
    public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
        return callForRows(
                        callId -> new RelayFrame.Feed(callId, table, version, waitMillis),
                        waitMillis + CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> new Changes(reply.rows(), reply.version()));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return call(callId -> new RelayFrame.Commit(callId, transaction), CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> expectReply(RelayFrame.Committed.class, reply).result());
    }

    /** Asks what the sibling knows of the fleet's lease. */
    CompletionStage<LeaseView> viewLease() {
        return call(RelayFrame.ViewLease::new, CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> expectReply(RelayFrame.LeaseViewed.class, reply).view());
    }

    boolean isConnected() {
        return connection != null;
    }

    void close() {
        if (connection != null) {
            connection.close();
        }
    }

    private CompletionStage<RelayFrame.Rows> callForRows(
            LongFunction<RelayFrame> frame, int timeoutMillis) {
        return call(frame, timeoutMillis)
                .thenApply(reply -> expectReply(RelayFrame.Rows.class, reply));
    }

    private static List<Row> existingRows(RelayFrame.Rows reply) {
        return reply.rows().stream()
                .filter(row -> row.value().isPresent())
                .map(row -> new Row(row.key(), row.version(), row.value().get()))
                .toList();
    }

    private static <T extends RelayFrame> T expectReply(Class<T> type, RelayFrame reply) {
        if (reply instanceof RelayFrame.Failed failed) {
            throw new QuetzalscaleException(failed.kind(), failed.message());
        }
        if (!type.isInstance(reply)) {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_FRAME, "the reply has the wrong type for the call");
        }
        return type.cast(reply);
    }

    private CompletionStage<RelayFrame> call(LongFunction<RelayFrame> frame, int timeoutMillis) {
        return connection().thenCompose(connected -> send(connected, frame, timeoutMillis));
    }

    private CompletionStage<RelayFrame> send(
            FrameConnection<RelayFrame> connected,
            LongFunction<RelayFrame> frame,
            int timeoutMillis) {
        long callId = ++lastCallId;
        PendingCall pending = new PendingCall();
        pendingCalls.put(callId, pending);
        connected.send(frame.apply(callId));
        loop.schedule(() -> onTimeout(callId, connected), timeoutMillis, TimeUnit.MILLISECONDS);
        return pending.reply;
    }

    /** Closes the connection, which may be dead; its other pending calls fail too. */
    private void onTimeout(long callId, FrameConnection<RelayFrame> connected) {
        if (pendingCalls.containsKey(callId)) {
            connected.close();
            failCall(callId);
        }
    }

    private void failCall(long callId) {
        PendingCall pending = pendingCalls.remove(callId);
        if (pending != null) {
            pending.reply.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_OUTCOME_UNKNOWN,
                            "no reply from the sibling at " + address));
        }
    }

    private void receive(RelayFrame frame) {
        PendingCall pending = pendingCalls.get(frame.callId());
        if (pending == null) {
            return;
        }
        if (!(frame instanceof RelayFrame.Rows rowsFrame)) {
            pendingCalls.remove(frame.callId());
            pending.reply.complete(frame);
            return;
        }
        pending.rows.addAll(rowsFrame.rows());
        if (rowsFrame.last()) {
            pendingCalls.remove(frame.callId());
            pending.reply.complete(
                    new RelayFrame.Rows(
                            rowsFrame.callId(), pending.rows, rowsFrame.version(), true));
        }
    }

    private CompletionStage<FrameConnection<RelayFrame>> connection() {
        if (connection != null) {
            return CompletableFuture.completedFuture(connection);
        }
        if (pendingConnection == null) {
            pendingConnection = new CompletableFuture<>();
            connect();
        }
        return pendingConnection;
    }

    private void connect() {
        AtomicReference<FrameConnection<RelayFrame>> installed = new AtomicReference<>();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                installed.set(
                                        RelayCodec.install(channel, RelayClient.this::receive));
                            }
                        })
                .connect(address)
                .addListener(connected -> onConnected((ChannelFuture) connected, installed));
    }

    private void onConnected(
            ChannelFuture connected, AtomicReference<FrameConnection<RelayFrame>> installed) {
        CompletableFuture<FrameConnection<RelayFrame>> opening = pendingConnection;
        pendingConnection = null;
        if (!connected.isSuccess()) {
            opening.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE,
                            "cannot connect to the sibling at "
                                    + address
                                    + ": "
                                    + connected.cause()));
            return;
        }
        connection = installed.get();
        Channel channel = connected.channel();
        channel.closeFuture().addListener(closed -> onClosed(installed.get()));
        opening.complete(connection);
    }

    private void onClosed(FrameConnection<RelayFrame> closed) {
        if (connection == closed) {
            connection = null;
            List.copyOf(pendingCalls.keySet()).forEach(this::failCall);
        }
    }
}
