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
 * The store as a table, by the way that {@link StoreRoute} chooses. Runs on one event loop.
 *
 * <p>The store may serve some parts of its tables and not others, so each part has a route of its
 * own. A call that no way is known for fails at once, without being sent. A transaction that may
 * have been carried out is not sent again by another way; its stage fails with
 * STORE_OUTCOME_UNKNOWN.
 */
public final class RelayedTable implements FeedTable {
    /** Siblings that are tried for one call; the caller repeats it or answers its own caller. */
    private static final int MAX_SIBLINGS = 2;

    private final FeedTable direct;
    private final EventLoop loop;
    private final TimeSource time;
    private final Map<String, PartRoute> routes = new HashMap<>();
    private final Map<InstanceId, RelayClient> clients = new HashMap<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();

    /** The route to one part of the tables. */
    private static final class PartRoute {
        final StoreRoute route = new StoreRoute();
        final String name;
        final RowKey probeKey;
        boolean probing;

        PartRoute(String name, RowKey probeKey) {
            this.name = name;
            this.probeKey = probeKey;
        }
    }

    /**
     * One call to the store.
     *
     * @param repeatable whether the call may be sent again though it may have been carried out
     */
    private record Call<T>(
            PartRoute part,
            Function<FeedTable, CompletionStage<T>> send,
            boolean repeatable,
            CompletableFuture<T> result) {}

    /** Creates a table that knows no siblings. */
    public RelayedTable(FeedTable direct, EventLoop loop, TimeSource time) {
        this.direct = direct;
        this.loop = loop;
        this.time = time;
    }

    /** Takes the addresses at which siblings carry out calls. */
    public void siblings(Map<InstanceId, InetSocketAddress> present) {
        for (InstanceId id : List.copyOf(clients.keySet())) {
            if (!addresses.get(id).equals(present.get(id))) {
                clients.remove(id).close();
            }
        }
        addresses.clear();
        addresses.putAll(present);
        routes.values().forEach(part -> part.route.siblings(List.copyOf(addresses.keySet())));
    }

    /** Whether the store answers this instance for the part that the key or prefix is in. */
    boolean isDirect(String key) {
        return keyRoute(key).route.isDirect();
    }

    /** Whether the store answers this instance for the changes of a table. */
    boolean isDirectFeed(String table) {
        return feedRoute(table).route.isDirect();
    }

    /** Whether the store answers neither this instance nor a sibling that can be reached. */
    public boolean isUnavailableToAll() {
        long now = time.nowMillis();
        return routes.values().stream().anyMatch(part -> part.route.isUnavailableToAll(now));
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return routed(keyRoute(key.value()), table -> table.read(key), true);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return routed(keyRoute(prefix), table -> table.scan(prefix), true);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return routed(keyRoute(prefix), table -> table.snapshot(prefix), true);
    }

    @Override
    public CompletionStage<Changes> changesAfter(String table, long version, int waitMillis) {
        return routed(
                feedRoute(table), store -> store.changesAfter(table, version, waitMillis), true);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        String key = transaction.mutations().get(0).key().value();
        return routed(keyRoute(key), table -> table.commit(transaction), false);
    }

    private PartRoute keyRoute(String key) {
        return route("part " + part(key), key);
    }

    private PartRoute feedRoute(String table) {
        return route("changes of " + table, table);
    }

    private PartRoute route(String name, String key) {
        return routes.computeIfAbsent(
                name,
                created -> {
                    PartRoute part = new PartRoute(created, new RowKey(key));
                    part.route.siblings(List.copyOf(addresses.keySet()));
                    return part;
                });
    }

    /** The second segment of a key; a transaction is routed by the part of its first row. */
    private static String part(String key) {
        String[] segments = key.split("/", 3);
        return segments.length > 1 ? segments[1] : "";
    }

    private <T> CompletionStage<T> routed(
            PartRoute part, Function<FeedTable, CompletionStage<T>> send, boolean repeatable) {
        Call<T> call = new Call<>(part, send, repeatable, new CompletableFuture<>());
        probe(part);
        if (part.route.isDirect()) {
            direct(call);
            return call.result();
        }
        relay(
                call,
                0,
                new QuetzalscaleException(
                        ErrorKind.STORE_UNAVAILABLE,
                        "the store answers neither this instance nor its siblings"));
        return call.result();
    }

    private <T> void direct(Call<T> call) {
        call.send()
                .apply(direct)
                .whenComplete(
                        (value, failure) -> {
                            if (finished(call, value, failure)) {
                                answered(call.part());
                                return;
                            }
                            failed(call.part(), failure);
                            if (maySendAgain(call, failure)) {
                                relay(call, 0, failure);
                            } else {
                                call.result().completeExceptionally(failure);
                            }
                        });
    }

    /**
     * Sends the call through a sibling.
     *
     * @param tried how many siblings have failed
     * @param failure what the call fails with if there is no further sibling
     */
    private <T> void relay(Call<T> call, int tried, Throwable failure) {
        Optional<InstanceId> sibling = call.part().route.next(time.nowMillis());
        if (tried == MAX_SIBLINGS || sibling.isEmpty()) {
            call.result().completeExceptionally(failure);
            return;
        }
        RelayClient client = client(sibling.get());
        call.send()
                .apply(client)
                .whenComplete(
                        (value, refusal) -> {
                            if (finished(call, value, refusal)) {
                                return;
                            }
                            Logger.info(
                                    "event=relay_failed sibling={} part=\"{}\" cause=\"{}\"",
                                    sibling.get(),
                                    call.part().name,
                                    refusal.getMessage());
                            // A sibling that can not be reached has no connection any more.
                            boolean answered = client.isConnected();
                            call.part()
                                    .route
                                    .siblingFailed(sibling.get(), answered, time.nowMillis());
                            if (maySendAgain(call, refusal)) {
                                relay(call, tried + 1, refusal);
                            } else {
                                call.result().completeExceptionally(refusal);
                            }
                        });
    }

    private static boolean maySendAgain(Call<?> call, Throwable failure) {
        return call.repeatable()
                || QuetzalscaleException.from(failure).kind() == ErrorKind.STORE_UNAVAILABLE;
    }

    /** Completes the call, unless the store did not answer. */
    private static <T> boolean finished(Call<T> call, T value, Throwable failure) {
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

    private RelayClient client(InstanceId sibling) {
        return clients.computeIfAbsent(sibling, id -> new RelayClient(addresses.get(id), loop));
    }

    private static void answered(PartRoute part) {
        if (!part.route.isDirect()) {
            Logger.info("event=store_route part=\"{}\" way=direct", part.name);
        }
        part.route.directAnswered();
    }

    private void failed(PartRoute part, Throwable failure) {
        if (part.route.isDirect()) {
            Logger.warn(
                    "event=store_route part=\"{}\" way=sibling cause=\"{}\"",
                    part.name,
                    QuetzalscaleException.from(failure).getMessage());
        }
        part.route.directFailed(time.nowMillis());
    }

    /** Asks the store now and then, with one call at a time, whether it answers again. */
    private void probe(PartRoute part) {
        if (part.probing || !part.route.takeProbe(time.nowMillis())) {
            return;
        }
        part.probing = true;
        direct.read(part.probeKey)
                .whenComplete(
                        (row, failure) -> {
                            part.probing = false;
                            if (failure == null) {
                                answered(part);
                            }
                        });
    }
}
