package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;

/**
 * A store in virtual time whose partitions carry out one transaction after the other, and refuse
 * those that would wait for more than a second.
 */
final class QueuedStore {
    private static final int RESPONSE_MILLIS = 4;
    private static final int TRANSACTION_MILLIS = 3;
    private static final int MAX_QUEUE_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 700;
    private static final int FEED_POLL_MILLIS = 20;

    private final VirtualLoop loop;
    private final Function<RowKey, String> partitionOf;
    private final InMemoryTable table = new InMemoryTable();
    private final List<ChangedRow> changes = new ArrayList<>();
    private final Map<String, Long> freeMillis = new HashMap<>();

    /** How much slower than normal a partition is. */
    ToLongFunction<String> slowness = partition -> 1;

    int transactions;
    int refused;

    QueuedStore(VirtualLoop loop, Function<RowKey, String> partitionOf) {
        this.loop = loop;
        this.partitionOf = partitionOf;
    }

    void put(String key, String value) {
        apply(Transaction.builder().put(new RowKey(key), value).build());
    }

    Optional<Row> row(RowKey key) {
        return table.read(key).toCompletableFuture().join();
    }

    /** How often a row was written. */
    long writesOf(RowKey key) {
        return changes.stream().filter(change -> change.key().equals(key)).count();
    }

    /** The client of one process, which counts its calls in the budget. */
    FeedTable clientFor(SimulatedProcess process, CallRetryBudget budget) {
        return new Client(process, budget);
    }

    private CommitResult apply(Transaction transaction) {
        CommitResult result = table.commit(transaction).toCompletableFuture().join();
        if (result.isCommitted()) {
            for (Mutation mutation : transaction.mutations()) {
                changes.add(new ChangedRow(mutation.key(), table.version(), mutation.value()));
            }
        }
        return result;
    }

    private Set<String> partitionsOf(Transaction transaction) {
        return Stream.concat(
                        transaction.conditions().stream().map(Condition::key),
                        transaction.mutations().stream().map(Mutation::key))
                .map(partitionOf)
                .collect(Collectors.toSet());
    }

    private static QuetzalscaleException failure(ErrorKind kind) {
        return new QuetzalscaleException(kind, "simulated");
    }

    private final class Client implements FeedTable {
        private final SimulatedProcess process;
        private final CallRetryBudget budget;

        Client(SimulatedProcess process, CallRetryBudget budget) {
            this.process = process;
            this.budget = budget;
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return call(partitionOf.apply(key), () -> row(key));
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return snapshot(prefix).thenApply(RowSnapshot::rows);
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return call(
                    partitionOf.apply(new RowKey(prefix)),
                    () ->
                            new RowSnapshot(
                                    table.scan(prefix).toCompletableFuture().join(),
                                    table.version()));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            budget.countCall(loop.nowMillis());
            transactions++;
            CompletableFuture<CommitResult> reply = new CompletableFuture<>();
            Set<String> partitions = partitionsOf(transaction);
            long slowest = partitions.stream().mapToLong(slowness).max().orElseThrow();
            long now = loop.nowMillis();
            long start =
                    partitions.stream()
                            .mapToLong(partition -> freeMillis.getOrDefault(partition, now))
                            .reduce(now, Math::max);
            if (start - now > MAX_QUEUE_MILLIS) {
                refused++;
                process.fail(
                        RESPONSE_MILLIS * slowest, reply, failure(ErrorKind.STORE_UNAVAILABLE));
                return reply;
            }
            long across = partitions.size() > 1 ? 2 : 1;
            long end = start + TRANSACTION_MILLIS * slowest * across;
            partitions.forEach(partition -> freeMillis.put(partition, end));
            loop.after(
                    end - now,
                    () -> process.deliver(RESPONSE_MILLIS * slowest, reply, apply(transaction)));
            process.fail(TIMEOUT_MILLIS, reply, failure(ErrorKind.STORE_OUTCOME_UNKNOWN));
            return reply;
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            CompletableFuture<Changes> reply = new CompletableFuture<>();
            budget.countCall(loop.nowMillis());
            poll(name, version, loop.nowMillis() + waitMillis, reply);
            return reply;
        }

        private void poll(
                String name, long version, long untilMillis, CompletableFuture<Changes> reply) {
            List<ChangedRow> found =
                    changes.stream()
                            .filter(row -> row.version() > version)
                            .filter(row -> row.key().value().startsWith(name + "/"))
                            .toList();
            if (found.isEmpty() && loop.nowMillis() < untilMillis) {
                loop.after(FEED_POLL_MILLIS, () -> poll(name, version, untilMillis, reply));
                return;
            }
            process.deliver(RESPONSE_MILLIS, reply, new Changes(found, table.version()));
        }

        private <T> CompletionStage<T> call(String partition, Supplier<T> read) {
            budget.countCall(loop.nowMillis());
            CompletableFuture<T> reply = new CompletableFuture<>();
            long millis = RESPONSE_MILLIS * slowness.applyAsLong(partition);
            loop.after(millis / 2, () -> process.deliver(millis / 2, reply, read.get()));
            return reply;
        }
    }
}
