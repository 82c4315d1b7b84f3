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
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.net.TcpListeners;
import org.quetzalscale.net.frame.FrameConnection;

/** Carries out calls to the store for instances that the store refuses. */
public final class RelayServer {
    /** Characters of keys and values in one frame; a character takes at most 3 bytes. */
    private static final int MAX_FRAME_CHARS = 200_000;

    private final InetSocketAddress bindAddress;
    private final EventLoopGroup group;
    private final FeedTable direct;
    private final Predicate<RelayFrame> serving;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /**
     * Creates a server.
     *
     * @param group event loops, owned by the caller
     * @param direct calls that this instance makes itself; a call is never passed on twice
     * @param serving whether the store answers this instance's calls of that kind; others fail at
     *     once
     */
    RelayServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            FeedTable direct,
            Predicate<RelayFrame> serving) {
        this.bindAddress = bindAddress;
        this.group = group;
        this.direct = direct;
        this.serving = serving;
    }

    /** A server that carries out what the table's own way to the store serves. */
    public static RelayServer of(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            FeedTable direct,
            RelayedTable table) {
        return new RelayServer(bindAddress, group, direct, call -> isDirect(table, call));
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

    /** Listens. */
    public void start() {
        listener = TcpListeners.listen(group, bindAddress, true, this::accept);
    }

    /** The port that it listens on. */
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
        connection.set(RelayCodec.install(channel, frame -> take(frame, connection.get())));
    }

    private void take(RelayFrame frame, FrameConnection<RelayFrame> connection) {
        if (!serving.test(frame)) {
            connection.send(
                    new RelayFrame.Failed(
                            frame.number(),
                            ErrorKind.STORE_UNAVAILABLE,
                            "the store does not answer the sibling"));
            return;
        }
        long number = frame.number();
        if (frame instanceof RelayFrame.Read read) {
            answer(
                    direct.read(read.key()),
                    connection,
                    number,
                    row -> rows(connection, number, changed(row.stream().toList()), 0));
        } else if (frame instanceof RelayFrame.Scan scan) {
            answer(
                    direct.snapshot(scan.prefix()),
                    connection,
                    number,
                    found -> rows(connection, number, changed(found.rows()), found.version()));
        } else if (frame instanceof RelayFrame.Feed feed) {
            answer(
                    direct.changesAfter(feed.table(), feed.version(), feed.waitMillis()),
                    connection,
                    number,
                    changes -> rows(connection, number, changes.rows(), changes.version()));
        } else if (frame instanceof RelayFrame.Commit commit) {
            answer(
                    direct.commit(commit.transaction()),
                    connection,
                    number,
                    result -> connection.send(new RelayFrame.Committed(number, result)));
        } else {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_FRAME, "a reply came without a call");
        }
    }

    private static <T> void answer(
            CompletionStage<T> call,
            FrameConnection<RelayFrame> connection,
            long number,
            Consumer<T> reply) {
        call.whenComplete(
                (value, failure) -> {
                    if (failure == null) {
                        reply.accept(value);
                        return;
                    }
                    QuetzalscaleException error = QuetzalscaleException.from(failure);
                    connection.send(
                            new RelayFrame.Failed(number, error.kind(), error.getMessage()));
                });
    }

    /** Sends rows in as many frames as they need. */
    private static void rows(
            FrameConnection<RelayFrame> connection,
            long number,
            List<ChangedRow> rows,
            long version) {
        List<ChangedRow> part = new ArrayList<>();
        int chars = 0;
        for (ChangedRow row : rows) {
            int size = row.key().value().length() + row.value().map(String::length).orElse(0);
            if (!part.isEmpty() && chars + size > MAX_FRAME_CHARS) {
                connection.send(new RelayFrame.Rows(number, part, version, false));
                part.clear();
                chars = 0;
            }
            part.add(row);
            chars += size;
        }
        connection.send(new RelayFrame.Rows(number, part, version, true));
    }

    private static List<ChangedRow> changed(List<Row> rows) {
        return rows.stream()
                .map(row -> new ChangedRow(row.key(), row.version(), Optional.of(row.value())))
                .toList();
    }
}
