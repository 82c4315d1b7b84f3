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
 * A table in memory that fails by a script or by a seed. Without faults and delay, stages are
 * complete when a call returns; with a delay, the effect comes after half of it and the answer
 * after all of it. Not safe for use by several threads.
 */
public final class FaultyTable implements TransactionalTable {
    private final InMemoryTable table = new InMemoryTable();
    private final VirtualTime time;
    private final Deque<TableFault> commitScript = new ArrayDeque<>();
    private final Deque<TableFault> readScript = new ArrayDeque<>();
    private final List<Snapshot> history = new ArrayList<>();
    private Random random = new Random(0);
    private double faultShare;
    private boolean down;
    private long delayMillis;
    private long staleMillis;

    /** A table without faults. */
    public FaultyTable(VirtualTime time) {
        this.time = time;
        history.add(new Snapshot(Long.MIN_VALUE, List.of()));
    }

    /** Refuses every call, or ends that. */
    public void setDown(boolean down) {
        this.down = down;
    }

    /** Delays every answer under virtual time. */
    public void setDelayMillis(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /** Answers reads and scans as of this long ago, which the port does not permit. */
    public void setStaleMillis(long staleMillis) {
        this.staleMillis = staleMillis;
    }

    /** Applies the faults to the next commits, one each. */
    public void failCommits(TableFault... faults) {
        commitScript.addAll(List.of(faults));
    }

    /** Applies the faults to the next reads and scans, one each. */
    public void failReads(TableFault... faults) {
        readScript.addAll(List.of(faults));
    }

    /** Fails this share of all calls that no script covers, each in one of the three ways. */
    public void failRandomly(long seed, double share) {
        random = new Random(seed);
        faultShare = share;
    }

    /** Ends all faults and delays. */
    public void clearFaults() {
        down = false;
        delayMillis = 0;
        staleMillis = 0;
        faultShare = 0;
        commitScript.clear();
        readScript.clear();
    }

    /** The table without faults, to check what took effect. */
    public InMemoryTable actual() {
        return table;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return answerRead(
                () -> visibleRows().stream().filter(row -> row.key().equals(key)).findFirst());
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return answerRead(
                () ->
                        visibleRows().stream()
                                .filter(row -> row.key().value().startsWith(prefix))
                                .toList());
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        TableFault fault = next(commitScript);
        if (fault == TableFault.DOWN) {
            return unavailable();
        }
        CompletableFuture<CommitResult> answer = new CompletableFuture<>();
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
                                    answer.complete(result.orElseThrow());
                                } else {
                                    answer.completeExceptionally(
                                            new QuetzalscaleException(
                                                    ErrorKind.STORE_OUTCOME_UNKNOWN,
                                                    "the answer was lost"));
                                }
                            });
                });
        return answer;
    }

    private <T> CompletionStage<T> answerRead(Supplier<T> read) {
        if (next(readScript) != TableFault.NONE) {
            return unavailable();
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        after(
                delayMillis / 2,
                () -> {
                    T value = read.get();
                    after(delayMillis - delayMillis / 2, () -> answer.complete(value));
                });
        return answer;
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
        List<Row> seen = List.of();
        for (Snapshot snapshot : history) {
            if (snapshot.atMillis <= time.nowMillis() - staleMillis) {
                seen = snapshot.rows;
            }
        }
        return seen;
    }

    private TableFault next(Deque<TableFault> script) {
        if (down) {
            return TableFault.DOWN;
        }
        if (!script.isEmpty()) {
            return script.poll();
        }
        if (faultShare > 0 && random.nextDouble() < faultShare) {
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
                new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "the table is down"));
    }

    private record Snapshot(long atMillis, List<Row> rows) {}
}
