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
 * Calls to the store through one sibling, on one connection. Runs on one event loop.
 *
 * <p>A call that may have been passed on fails with STORE_OUTCOME_UNKNOWN when no answer comes.
 */
final class RelayClient implements FeedTable {
    private static final int CONNECT_MILLIS = 300;

    /** Longer than the sibling waits for the store. */
    private static final int CALL_MILLIS = 900;

    private static final int SCAN_MILLIS = 3_500;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Map<Long, Pending> calls = new HashMap<>();
    private FrameConnection<RelayFrame> connection;
    private CompletableFuture<FrameConnection<RelayFrame>> connecting;
    private long lastNumber;

    RelayClient(InetSocketAddress address, EventLoop loop) {
        this.address = address;
        this.loop = loop;
    }

    /** A call without its whole answer. */
    private static final class Pending {
        final CompletableFuture<RelayFrame> reply = new CompletableFuture<>();
        final List<ChangedRow> rows = new ArrayList<>();
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return rows(number -> new RelayFrame.Read(number, key), CALL_MILLIS)
                .thenApply(reply -> present(reply).stream().findFirst());
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return snapshot(prefix).thenApply(RowSnapshot::rows);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return rows(number -> new RelayFrame.Scan(number, prefix), SCAN_MILLIS)
                .thenApply(reply -> new RowSnapshot(present(reply), reply.version()));
    }

    @Override
    public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
        return rows(
                        number -> new RelayFrame.Feed(number, table, version, waitMillis),
                        waitMillis + CALL_MILLIS)
                .thenApply(reply -> new Changes(reply.rows(), reply.version()));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return call(number -> new RelayFrame.Commit(number, transaction), CALL_MILLIS)
                .thenApply(reply -> expect(RelayFrame.Committed.class, reply).result());
    }

    boolean isConnected() {
        return connection != null;
    }

    void close() {
        if (connection != null) {
            connection.close();
        }
    }

    private CompletionStage<RelayFrame.Rows> rows(LongFunction<RelayFrame> frame, int limitMillis) {
        return call(frame, limitMillis).thenApply(reply -> expect(RelayFrame.Rows.class, reply));
    }

    private static List<Row> present(RelayFrame.Rows reply) {
        return reply.rows().stream()
                .filter(row -> row.value().isPresent())
                .map(row -> new Row(row.key(), row.version(), row.value().get()))
                .toList();
    }

    private static <T extends RelayFrame> T expect(Class<T> type, RelayFrame reply) {
        if (reply instanceof RelayFrame.Failed failed) {
            throw new QuetzalscaleException(failed.kind(), failed.message());
        }
        if (!type.isInstance(reply)) {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_FRAME, "the reply does not fit the call");
        }
        return type.cast(reply);
    }

    private CompletionStage<RelayFrame> call(LongFunction<RelayFrame> frame, int limitMillis) {
        return connection().thenCompose(connected -> send(connected, frame, limitMillis));
    }

    private CompletionStage<RelayFrame> send(
            FrameConnection<RelayFrame> connected,
            LongFunction<RelayFrame> frame,
            int limitMillis) {
        long number = ++lastNumber;
        Pending pending = new Pending();
        calls.put(number, pending);
        connected.send(frame.apply(number));
        loop.schedule(() -> expired(number, connected), limitMillis, TimeUnit.MILLISECONDS);
        return pending.reply;
    }

    /** Closes the connection, which may have gone silent; its other calls fail with it. */
    private void expired(long number, FrameConnection<RelayFrame> connected) {
        if (calls.containsKey(number)) {
            connected.close();
            fail(number);
        }
    }

    private void fail(long number) {
        Pending pending = calls.remove(number);
        if (pending != null) {
            pending.reply.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_OUTCOME_UNKNOWN, "no answer from " + address));
        }
    }

    private void take(RelayFrame frame) {
        Pending pending = calls.get(frame.number());
        if (pending == null) {
            return;
        }
        if (!(frame instanceof RelayFrame.Rows part)) {
            calls.remove(frame.number());
            pending.reply.complete(frame);
            return;
        }
        pending.rows.addAll(part.rows());
        if (part.last()) {
            calls.remove(frame.number());
            pending.reply.complete(
                    new RelayFrame.Rows(part.number(), pending.rows, part.version(), true));
        }
    }

    private CompletionStage<FrameConnection<RelayFrame>> connection() {
        if (connection != null) {
            return CompletableFuture.completedFuture(connection);
        }
        if (connecting == null) {
            connecting = new CompletableFuture<>();
            connect();
        }
        return connecting;
    }

    private void connect() {
        AtomicReference<FrameConnection<RelayFrame>> installed = new AtomicReference<>();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                installed.set(RelayCodec.install(channel, RelayClient.this::take));
                            }
                        })
                .connect(address)
                .addListener(connected -> connected((ChannelFuture) connected, installed));
    }

    private void connected(
            ChannelFuture connected, AtomicReference<FrameConnection<RelayFrame>> installed) {
        CompletableFuture<FrameConnection<RelayFrame>> waiting = connecting;
        connecting = null;
        if (!connected.isSuccess()) {
            waiting.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE,
                            "no connection to " + address + ": " + connected.cause()));
            return;
        }
        connection = installed.get();
        Channel channel = connected.channel();
        channel.closeFuture().addListener(closed -> closed(installed.get()));
        waiting.complete(connection);
    }

    private void closed(FrameConnection<RelayFrame> ended) {
        if (connection == ended) {
            connection = null;
            List.copyOf(calls.keySet()).forEach(this::fail);
        }
    }
}
