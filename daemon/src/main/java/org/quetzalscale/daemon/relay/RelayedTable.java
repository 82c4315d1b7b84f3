package org.quetzalscale.daemon.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.StoreRoute;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/**
 * The store's table, reached directly or through a sibling as {@link StoreRoute} chooses. All
 * methods run on one event loop.
 *
 * <p>The store may serve some partitions of its tables and refuse others, so each partition has its
 * own route. A call without an available route fails immediately and is not sent. A transaction
 * that may have been committed is not retried on another route; its stage fails with
 * STORE_OUTCOME_UNKNOWN.
 */
public final class RelayedTable implements FeedTable {
    /** Maximum number of siblings to try for one call. Further retries are up to the caller. */
    private static final int MAX_SIBLINGS = 2;

    private final FeedTable direct;
    private final EventLoop loop;
    private final TimeSource time;
    private final Map<String, RouteEntry> routes = new HashMap<>();
    private final Map<InstanceId, RelayClient> clients = new HashMap<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();

    /** The route to one partition, or to the change feed of one table. */
    private static final class RouteEntry {
        final StoreRoute route = new StoreRoute();
        final String name;
        final RowKey probeKey;
        boolean probing;

        RouteEntry(String name, RowKey probeKey) {
            this.name = name;
            this.probeKey = probeKey;
        }
    }

    /**
     * One call to the store.
     *
     * @param idempotent whether the call may be sent again even if it may have been executed
     */
    private record Call<T>(
            RouteEntry entry,
            Function<FeedTable, CompletionStage<T>> operation,
            boolean idempotent,
            CompletableFuture<T> result) {}

    /** Creates a table without siblings. */
    public RelayedTable(FeedTable direct, EventLoop loop, TimeSource time) {
        this.direct = direct;
        this.loop = loop;
        this.time = time;
    }

    /** Replaces the addresses of the siblings' relay servers. */
    public void updateSiblings(Map<InstanceId, InetSocketAddress> newAddresses) {
        for (InstanceId id : List.copyOf(clients.keySet())) {
            if (!addresses.get(id).equals(newAddresses.get(id))) {
                clients.remove(id).close();
            }
        }
        addresses.clear();
        addresses.putAll(newAddresses);
        routes.values()
                .forEach(entry -> entry.route.updateSiblings(List.copyOf(addresses.keySet())));
    }

    /** Whether calls for the partition of the key or prefix go directly to the store. */
    boolean isDirect(String key) {
        return routeForKey(key).route.isDirect();
    }

    /** Whether calls for the changes of a table go directly to the store. */
    boolean isDirectFeed(String table) {
        return routeForFeed(table).route.isDirect();
    }

    /** Whether the store serves neither this instance nor any sibling that can be reached. */
    public boolean isUnavailableToAll() {
        long now = time.nowMillis();
        return routes.values().stream().anyMatch(entry -> entry.route.isUnavailableToAll(now));
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return send(routeForKey(key.value()), table -> table.read(key), true);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return send(routeForKey(prefix), table -> table.scan(prefix), true);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return send(routeForKey(prefix), table -> table.snapshot(prefix), true);
    }

    @Override
    public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
        return send(
                routeForFeed(table), store -> store.changesAfter(table, version, waitMillis), true);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        String key = transaction.mutations().get(0).key().value();
        return send(routeForKey(key), table -> table.commit(transaction), false);
    }

    private RouteEntry routeForKey(String key) {
        return routeEntry("part " + partition(key), key);
    }

    private RouteEntry routeForFeed(String table) {
        return routeEntry("changes of " + table, table);
    }

    private RouteEntry routeEntry(String name, String key) {
        return routes.computeIfAbsent(
                name,
                created -> {
                    RouteEntry entry = new RouteEntry(created, new RowKey(key));
                    entry.route.updateSiblings(List.copyOf(addresses.keySet()));
                    return entry;
                });
    }

    /** The second segment of a key. A transaction is routed by the partition of its first row. */
    private static String partition(String key) {
        String[] segments = key.split("/", 3);
        return segments.length > 1 ? segments[1] : "";
    }

    private <T> CompletionStage<T> send(
            RouteEntry entry,
            Function<FeedTable, CompletionStage<T>> operation,
            boolean idempotent) {
        Call<T> call = new Call<>(entry, operation, idempotent, new CompletableFuture<>());
        probeIfDue(entry);
        if (entry.route.isDirect()) {
            sendDirectly(call);
            return call.result();
        }
        sendThroughSibling(
                call,
                0,
                new QuetzalscaleException(
                        ErrorKind.STORE_UNAVAILABLE,
                        "the store responds neither to this instance nor to its siblings"));
        return call.result();
    }

    private <T> void sendDirectly(Call<T> call) {
        call.operation()
                .apply(direct)
                .whenComplete(
                        (value, failure) -> {
                            if (completeIfAnswered(call, value, failure)) {
                                onDirectSuccess(call.entry());
                                return;
                            }
                            onDirectFailure(call.entry(), failure);
                            if (canRetry(call, failure)) {
                                sendThroughSibling(call, 0, failure);
                            } else {
                                call.result().completeExceptionally(failure);
                            }
                        });
    }

    /**
     * Sends the call through the next sibling.
     *
     * @param triedSiblings how many siblings have failed for this call
     * @param failure the exception with which the call fails if no sibling is left
     */
    private <T> void sendThroughSibling(Call<T> call, int triedSiblings, Throwable failure) {
        Optional<InstanceId> sibling = call.entry().route.nextSibling(time.nowMillis());
        if (triedSiblings == MAX_SIBLINGS || sibling.isEmpty()) {
            call.result().completeExceptionally(failure);
            return;
        }
        RelayClient client = clientFor(sibling.get());
        call.operation()
                .apply(client)
                .whenComplete(
                        (value, siblingFailure) -> {
                            if (completeIfAnswered(call, value, siblingFailure)) {
                                return;
                            }
                            Logger.info(
                                    "event=relay_failed sibling={} part=\"{}\" cause=\"{}\"",
                                    sibling.get(),
                                    call.entry().name,
                                    siblingFailure.getMessage());
                            // A sibling that cannot be reached has no open connection.
                            boolean answered = client.isConnected();
                            call.entry()
                                    .route
                                    .onSiblingFailure(sibling.get(), answered, time.nowMillis());
                            if (canRetry(call, siblingFailure)) {
                                sendThroughSibling(call, triedSiblings + 1, siblingFailure);
                            } else {
                                call.result().completeExceptionally(siblingFailure);
                            }
                        });
    }

    private static boolean canRetry(Call<?> call, Throwable failure) {
        return call.idempotent()
                || QuetzalscaleException.from(failure).kind() == ErrorKind.STORE_UNAVAILABLE;
    }

    /**
     * Completes the call with the store's result or error; returns false if the store did not
     * respond.
     */
    private static <T> boolean completeIfAnswered(Call<T> call, T value, Throwable failure) {
        if (failure == null) {
            call.result().complete(value);
            return true;
        }
        ErrorKind kind = QuetzalscaleException.from(failure).kind();
        if (kind != ErrorKind.STORE_UNAVAILABLE && kind != ErrorKind.STORE_OUTCOME_UNKNOWN) {
            call.result().completeExceptionally(failure);
            return true;
        }
        return false;
    }

    private RelayClient clientFor(InstanceId sibling) {
        return clients.computeIfAbsent(sibling, id -> new RelayClient(addresses.get(id), loop));
    }

    private static void onDirectSuccess(RouteEntry entry) {
        if (!entry.route.isDirect()) {
            Logger.info("event=store_route part=\"{}\" way=direct", entry.name);
        }
        entry.route.onDirectSuccess();
    }

    private void onDirectFailure(RouteEntry entry, Throwable failure) {
        if (entry.route.isDirect()) {
            Logger.warn(
                    "event=store_route part=\"{}\" way=sibling cause=\"{}\"",
                    entry.name,
                    QuetzalscaleException.from(failure).getMessage());
        }
        entry.route.onDirectFailure(time.nowMillis());
    }

    /** Checks at intervals, with one call at a time, whether the store responds again. */
    private void probeIfDue(RouteEntry entry) {
        if (entry.probing || !entry.route.tryStartProbe(time.nowMillis())) {
            return;
        }
        entry.probing = true;
        direct.read(entry.probeKey)
                .whenComplete(
                        (row, failure) -> {
                            entry.probing = false;
                            if (failure == null) {
                                onDirectSuccess(entry);
                            }
                        });
    }
}
