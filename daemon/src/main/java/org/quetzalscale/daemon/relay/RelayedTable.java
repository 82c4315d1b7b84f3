package org.quetzalscale.daemon.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.StoreRoute;
import org.quetzalscale.core.table.TableLimits;
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
 *
 * <p>A call that is sent again after an error needs the retry budget of the instance; the first
 * attempt of a call does not, also if it goes through a sibling. Calls for urgent tables do not
 * need the budget, and are sent directly if no sibling is available.
 */
public final class RelayedTable implements FeedTable {
    /** Maximum number of siblings to try for one call. Further retries are up to the caller. */
    private static final int MAX_SIBLINGS = 2;

    private final FeedTable direct;
    private final EventLoop loop;
    private final TimeSource time;
    private final Limits limits;
    private final Map<String, RouteEntry> routes = new HashMap<>();
    private final Map<InstanceId, RelayClient> clients = new HashMap<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
    private boolean siblingsKnown;

    /**
     * Limits of the calls that are sent again.
     *
     * @param budget counts the calls of the instance; used on the event loop only
     * @param urgentTables tables whose calls do not need the budget
     * @param onRelayRefused runs when the store refused a sibling as well
     */
    public record Limits(
            CallRetryBudget budget, Set<String> urgentTables, Runnable onRelayRefused) {}

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
     * @param urgent whether the call does not need the retry budget
     */
    private record Call<T>(
            RouteEntry entry,
            Function<FeedTable, CompletionStage<T>> operation,
            boolean idempotent,
            boolean urgent,
            CompletableFuture<T> result) {}

    /** Creates a table without siblings. */
    public RelayedTable(FeedTable direct, EventLoop loop, TimeSource time, Limits limits) {
        this.direct = direct;
        this.loop = loop;
        this.time = time;
        this.limits = limits;
    }

    /**
     * Replaces the addresses of the siblings' relay servers.
     *
     * @param complete whether these are all siblings that may be running
     */
    public void updateSiblings(Map<InstanceId, InetSocketAddress> newAddresses, boolean complete) {
        siblingsKnown = complete;
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

    /** Whether all siblings that may be running have been read. */
    boolean areSiblingsKnown() {
        return siblingsKnown;
    }

    /** The clients of all siblings. */
    List<RelayClient> siblingClients() {
        return addresses.keySet().stream().map(this::clientFor).toList();
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

    /** Whether this holds for the partition of the key or prefix. */
    public boolean isUnavailableToAll(String key) {
        return routeForKey(key).route.isUnavailableToAll(time.nowMillis());
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return send(routeForKey(key.value()), key.value(), table -> table.read(key), true);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return send(routeForKey(prefix), prefix, table -> table.scan(prefix), true);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return send(routeForKey(prefix), prefix, table -> table.snapshot(prefix), true);
    }

    @Override
    public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
        return send(
                routeForFeed(table),
                table,
                store -> store.changesAfter(table, version, waitMillis),
                true);
    }

    /** Sends a transaction on the route of its first row's partition. */
    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        String key = transaction.mutations().get(0).key().value();
        return send(routeForKey(key), key, table -> table.commit(transaction), false);
    }

    @Override
    public TableLimits limits() {
        return direct.limits();
    }

    private RouteEntry routeForKey(String key) {
        return routeEntry("part " + new RowKey(key).partition(), key);
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

    private <T> CompletionStage<T> send(
            RouteEntry entry,
            String key,
            Function<FeedTable, CompletionStage<T>> operation,
            boolean idempotent) {
        boolean urgent = limits.urgentTables().contains(key.split("/", 2)[0]);
        Call<T> call = new Call<>(entry, operation, idempotent, urgent, new CompletableFuture<>());
        limits.budget().countCall(time.nowMillis());
        probeIfDue(entry);
        Optional<InstanceId> sibling = entry.route.nextSibling(time.nowMillis());
        if (sibling.isPresent()) {
            sendThroughSibling(call, sibling.get(), 1);
        } else if (entry.route.isDirect() || urgent) {
            sendDirectly(call);
        } else {
            call.result()
                    .completeExceptionally(
                            new QuetzalscaleException(
                                    ErrorKind.STORE_UNAVAILABLE,
                                    "the store responds neither to this instance nor to its"
                                            + " siblings"));
        }
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
                            sendAgain(call, 0, failure);
                        });
    }

    /**
     * Sends a call that failed through the next sibling, if it may be sent again.
     *
     * @param triedSiblings how many siblings have failed for this call
     */
    private <T> void sendAgain(Call<T> call, int triedSiblings, Throwable failure) {
        long now = time.nowMillis();
        Optional<InstanceId> sibling = call.entry().route.nextSibling(now);
        if (triedSiblings < MAX_SIBLINGS
                && canRetry(call, failure)
                && sibling.isPresent()
                && (call.urgent() || limits.budget().tryRetry(now))) {
            sendThroughSibling(call, sibling.get(), triedSiblings + 1);
        } else {
            call.result().completeExceptionally(failure);
        }
    }

    /**
     * Sends the call through a sibling.
     *
     * @param triedSiblings how many siblings were tried for this call, with this one
     */
    private <T> void sendThroughSibling(Call<T> call, InstanceId sibling, int triedSiblings) {
        RelayClient client = clientFor(sibling);
        call.entry().route.onSiblingCall(sibling, time.nowMillis());
        call.operation()
                .apply(client)
                .whenComplete(
                        (value, failure) -> {
                            if (completeIfAnswered(call, value, failure)) {
                                call.entry().route.onSiblingSuccess();
                                return;
                            }
                            // A sibling that cannot be reached has no open connection.
                            onSiblingFailure(call.entry(), sibling, client.isConnected(), failure);
                            sendAgain(call, triedSiblings, failure);
                        });
    }

    private void onSiblingFailure(
            RouteEntry entry, InstanceId sibling, boolean answered, Throwable failure) {
        long now = time.nowMillis();
        boolean wasRefusedToAll = entry.route.isRefusedToAll(now);
        Logger.info(
                "event=relay_failed sibling={} part=\"{}\" cause=\"{}\"",
                sibling,
                entry.name,
                failure.getMessage());
        entry.route.onSiblingFailure(sibling, answered, now);
        if (answered) {
            limits.onRelayRefused().run();
        }
        if (!wasRefusedToAll && entry.route.isRefusedToAll(now)) {
            Logger.warn("event=store_route part=\"{}\" way=none", entry.name);
        }
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
