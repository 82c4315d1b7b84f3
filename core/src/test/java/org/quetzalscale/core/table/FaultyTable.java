package org.quetzalscale.core.table;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.time.VirtualTime;

/**
 * In-memory table that injects faults from a script, or at random from a seed. Without faults and
 * delay, stages are complete when a call returns. With a delay, a call takes effect after half of
 * it and its stage completes after all of it. Not thread-safe.
 */
public final class FaultyTable implements TransactionalTable {
    private final InMemoryTable table = new InMemoryTable();
    private final VirtualTime time;
    private final Deque<TableFault> commitFaults = new ArrayDeque<>();
    private final Deque<TableFault> readFaults = new ArrayDeque<>();
    private final List<Snapshot> history = new ArrayList<>();
    private Random random = new Random(0);
    private double faultProbability;
    private boolean down;
    private long delayMillis;
    private long staleMillis;

    /** Creates a table that injects no faults yet. */
    public FaultyTable(VirtualTime time) {
        this.time = time;
        history.add(new Snapshot(Long.MIN_VALUE, List.of()));
    }

    /** Sets whether every call is refused. */
    public void setDown(boolean down) {
        this.down = down;
    }

    /** Delays every response by this much virtual time. */
    public void setDelayMillis(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /**
     * Makes reads and scans return the state of this long ago, which {@link TransactionalTable}
     * does not permit.
     */
    public void setStaleMillis(long staleMillis) {
        this.staleMillis = staleMillis;
    }

    /** Injects the faults into the next commits, one fault per commit. */
    public void failCommits(TableFault... faults) {
        commitFaults.addAll(List.of(faults));
    }

    /** Injects the faults into the next reads and scans, one fault per call. */
    public void failReads(TableFault... faults) {
        readFaults.addAll(List.of(faults));
    }

    /**
     * Injects one of the three faults at random, with this probability, into each call that has no
     * scripted fault.
     */
    public void failRandomly(long seed, double probability) {
        random = new Random(seed);
        faultProbability = probability;
    }

    /** Removes all faults and delays. */
    public void clearFaults() {
        down = false;
        delayMillis = 0;
        staleMillis = 0;
        faultProbability = 0;
        commitFaults.clear();
        readFaults.clear();
    }

    /** The underlying table without faults, to check which commits took effect. */
    public InMemoryTable actual() {
        return table;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return respondToRead(
                () -> visibleRows().stream().filter(row -> row.key().equals(key)).findFirst());
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return respondToRead(
                () ->
                        visibleRows().stream()
                                .filter(row -> row.key().value().startsWith(prefix))
                                .toList());
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        TableFault fault = nextFault(commitFaults);
        if (fault == TableFault.DOWN) {
            return unavailable();
        }
        CompletableFuture<CommitResult> response = new CompletableFuture<>();
        after(
                delayMillis / 2,
                () -> {
                    Optional<CommitResult> result =
                            fault == TableFault.LOSE_REQUEST
                                    ? Optional.empty()
                                    : Optional.of(apply(transaction));
                    after(
                            delayMillis - delayMillis / 2,
                            () -> {
                                if (fault == TableFault.NONE) {
                                    response.complete(result.orElseThrow());
                                } else {
                                    response.completeExceptionally(
                                            new QuetzalscaleException(
                                                    ErrorKind.STORE_OUTCOME_UNKNOWN,
                                                    "the response was lost"));
                                }
                            });
                });
        return response;
    }

    private <T> CompletionStage<T> respondToRead(Supplier<T> read) {
        if (nextFault(readFaults) != TableFault.NONE) {
            return unavailable();
        }
        CompletableFuture<T> response = new CompletableFuture<>();
        after(
                delayMillis / 2,
                () -> {
                    T value = read.get();
                    after(delayMillis - delayMillis / 2, () -> response.complete(value));
                });
        return response;
    }

    private CommitResult apply(Transaction transaction) {
        CommitResult result = table.commit(transaction).toCompletableFuture().join();
        if (result.isCommitted()) {
            history.add(new Snapshot(time.nowMillis(), currentRows()));
        }
        return result;
    }

    private List<Row> currentRows() {
        return table.scan("").toCompletableFuture().join();
    }

    private List<Row> visibleRows() {
        if (staleMillis == 0) {
            return currentRows();
        }
        List<Row> visible = List.of();
        for (Snapshot snapshot : history) {
            if (snapshot.atMillis <= time.nowMillis() - staleMillis) {
                visible = snapshot.rows;
            }
        }
        return visible;
    }

    private TableFault nextFault(Deque<TableFault> scripted) {
        if (down) {
            return TableFault.DOWN;
        }
        if (!scripted.isEmpty()) {
            return scripted.poll();
        }
        if (faultProbability > 0 && random.nextDouble() < faultProbability) {
            return TableFault.values()[1 + random.nextInt(TableFault.values().length - 1)];
        }
        return TableFault.NONE;
    }

    private void after(long millis, Runnable action) {
        if (millis == 0) {
            action.run();
        } else {
            time.schedule(millis, action);
        }
    }

    private static <T> CompletionStage<T> unavailable() {
        return CompletableFuture.failedFuture(
                new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "the table is unavailable"));
    }

    private record Snapshot(long atMillis, List<Row> rows) {}
}
