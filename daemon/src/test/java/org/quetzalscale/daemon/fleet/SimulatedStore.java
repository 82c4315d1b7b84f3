package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;

/** A store in virtual time that may refuse processes, lose answers and drop its history. */
final class SimulatedStore {
    private static final int TIMEOUT_MILLIS = 700;
    private static final int FEED_POLL_MILLIS = 20;
    private static final String ENTRIES_PREFIX = "servers//";

    private final VirtualLoop loop;
    private final Random random;
    private final InMemoryTable table = new InMemoryTable();
    private final List<ChangedRow> changes = new ArrayList<>();
    private long droppedVersion;

    boolean unavailable;

    /** How much longer it takes to read all jobs, as on a weak instance with many jobs. */
    int jobReadMillis;

    /** How much longer it takes to read the entries of all workers. */
    int entryReadMillis;

    /** Part of the transactions whose answers are lost; half of these are carried out late. */
    double lostAnswerProbability;

    SimulatedStore(VirtualLoop loop, Random random) {
        this.loop = loop;
        this.random = random;
    }

    void put(String key, String value) {
        apply(Transaction.builder().put(new RowKey(key), value).build());
    }

    void delete(String key) {
        apply(Transaction.builder().add(Mutation.delete(new RowKey(key))).build());
    }

    List<Row> rows(String prefix) {
        return table.scan(prefix).toCompletableFuture().join();
    }

    /** How often a row was written. */
    long writesOf(RowKey key) {
        return changes.stream().filter(change -> change.key().equals(key)).count();
    }

    void dropHistory() {
        droppedVersion = table.version();
    }

    FeedTable clientFor(SimulatedProcess process) {
        return new Client(process);
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

    private int latency() {
        return 1 + random.nextInt(4);
    }

    private static QuetzalscaleException failure(ErrorKind kind) {
        return new QuetzalscaleException(kind, "simulated");
    }

    private final class Client implements FeedTable {
        private final SimulatedProcess process;

        Client(SimulatedProcess process) {
            this.process = process;
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return call(() -> table.read(key).toCompletableFuture().join());
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return call(() -> rows(prefix));
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return call(extraMillis(prefix), () -> new RowSnapshot(rows(prefix), table.version()));
        }

        private int extraMillis(String prefix) {
            return switch (prefix) {
                case FleetRows.SHARD_JOBS_PREFIX -> jobReadMillis;
                case ENTRIES_PREFIX -> entryReadMillis;
                default -> 0;
            };
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            CompletableFuture<CommitResult> reply = new CompletableFuture<>();
            if (fails(reply)) {
                return reply;
            }
            boolean lost = process.store == SimulatedProcess.StoreAccess.COMMITS_NOT_ANSWERED;
            if (lost || random.nextDouble() < lostAnswerProbability) {
                int delay = random.nextBoolean() ? latency() : 1_000 + random.nextInt(5_000);
                loop.after(delay, () -> apply(transaction));
                process.fail(TIMEOUT_MILLIS, reply, failure(ErrorKind.STORE_OUTCOME_UNKNOWN));
                return reply;
            }
            loop.after(latency(), () -> process.deliver(latency(), reply, apply(transaction)));
            return reply;
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            CompletableFuture<Changes> reply = new CompletableFuture<>();
            if (!fails(reply)) {
                loop.after(
                        latency(), () -> poll(name, version, loop.nowMillis() + waitMillis, reply));
            }
            return reply;
        }

        private void poll(
                String name, long version, long untilMillis, CompletableFuture<Changes> reply) {
            if (version < droppedVersion) {
                process.fail(latency(), reply, failure(ErrorKind.REVISION_TOO_OLD));
                return;
            }
            List<ChangedRow> found =
                    changes.stream()
                            .filter(row -> row.version() > version)
                            .filter(row -> row.key().value().startsWith(name + "/"))
                            .toList();
            if (found.isEmpty() && loop.nowMillis() < untilMillis) {
                loop.after(FEED_POLL_MILLIS, () -> poll(name, version, untilMillis, reply));
                return;
            }
            process.deliver(latency(), reply, new Changes(found, table.version()));
        }

        private <T> CompletionStage<T> call(Supplier<T> read) {
            return call(0, read);
        }

        private <T> CompletionStage<T> call(int extraMillis, Supplier<T> read) {
            CompletableFuture<T> reply = new CompletableFuture<>();
            if (!fails(reply)) {
                loop.after(
                        latency(),
                        () -> process.deliver(latency() + extraMillis, reply, read.get()));
            }
            return reply;
        }

        /** Fails the call if the process cannot reach the store. */
        private boolean fails(CompletableFuture<?> reply) {
            if (unavailable || process.store == SimulatedProcess.StoreAccess.REFUSED) {
                process.fail(latency(), reply, failure(ErrorKind.STORE_UNAVAILABLE));
                return true;
            }
            if (process.store == SimulatedProcess.StoreAccess.NOT_ANSWERED) {
                process.fail(TIMEOUT_MILLIS, reply, failure(ErrorKind.STORE_OUTCOME_UNKNOWN));
                return true;
            }
            return false;
        }
    }
}
