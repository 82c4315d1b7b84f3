package org.quetzalscale.core.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ConfigReader;
import org.quetzalscale.core.config.ConfigRows;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.config.ResourceEdit;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Changes the assignment of a worker together with the budget rows of the affected pools.
 *
 * <p>The transaction requires the configuration's revision row, the worker's row and the budget
 * rows as they were when the rule decided. The revision row is required because a floor may be
 * raised, or a worker deleted, without a change of the budget row.
 */
public final class AssignmentWriter {
    private final TransactionalTable table;
    private final ConfigReader reader;
    private final RowCodec<BudgetRow> codec;
    private final Supplier<ConfigSnapshot> cached;
    private final Function<ConfigWrite, CompletionStage<List<Change>>> writer;

    /**
     * Creates a writer that commits through the configuration store.
     *
     * @param cached supplies a recent snapshot, so that only later changes have to be read
     * @param writer accepts a write, as {@link org.quetzalscale.core.config.ConfigStore#write} does
     */
    public AssignmentWriter(
            TransactionalTable table,
            ConfigReader reader,
            RowCodec<BudgetRow> codec,
            Supplier<ConfigSnapshot> cached,
            Function<ConfigWrite, CompletionStage<List<Change>>> writer) {
        this.table = table;
        this.reader = reader;
        this.codec = codec;
        this.cached = cached;
        this.writer = writer;
    }

    /** Reads the configuration as of the latest commit. */
    public CompletionStage<ConfigSnapshot> latest() {
        return reader.revision().thenCompose(revision -> reader.advance(cached.get(), revision));
    }

    /**
     * Changes a worker's assignment as the rule decides.
     *
     * <p>The stage fails with the error of the rule; RESOURCE_UNKNOWN if the worker has no
     * assignment; VERSION_CONFLICT if another write or another lease holder committed first;
     * STORE_UNAVAILABLE if nothing changed; STORE_OUTCOME_UNKNOWN if the change may have been
     * committed. After any of them, the next step follows from the stored rows.
     *
     * @param extra conditions, such as a lease's fence, and mutations that commit with the change
     * @return the revision of the new assignment
     */
    public CompletionStage<Revision> change(
            WorkerId worker, AssignmentRule rule, Transaction extra) {
        return table.read(ConfigRows.REVISION)
                .thenCompose(
                        row ->
                                reader.advance(cached.get(), ConfigReader.revisionOf(row))
                                        .thenCompose(
                                                latest ->
                                                        decide(row, latest, worker, rule, extra)));
    }

    private CompletionStage<Revision> decide(
            Optional<Row> revision,
            ConfigSnapshot latest,
            WorkerId worker,
            AssignmentRule rule,
            Transaction extra) {
        if (!latest.revision().equals(ConfigReader.revisionOf(revision))) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.VERSION_CONFLICT,
                            "the configuration changed while it was read"));
        }
        Versioned current =
                latest.find(Kind.ASSIGNMENTS, worker.value())
                        .orElseThrow(
                                () ->
                                        new QuetzalscaleException(
                                                ErrorKind.RESOURCE_UNKNOWN,
                                                "worker \"" + worker + "\" has no assignment"));
        AssignmentSpec before = (AssignmentSpec) current.spec();
        AssignmentSpec next = rule.next(latest, before);
        Transaction.Builder guards = Transaction.builder();
        extra.conditions().forEach(guards::require);
        revision.map(Condition::unchanged).ifPresent(guards::require);
        Set<PoolId> pools = new TreeSet<>(Set.of(before.pool()));
        pools.add(next.pool());
        ResourceEdit edit =
                ResourceEdit.replace(worker.value(), next, Optional.of(current.revision()));
        return addBudgets(new ArrayList<>(pools), worker, next, guards)
                .thenCompose(
                        nothing ->
                                writer.apply(
                                        new ConfigWrite(
                                                List.of(edit), withMutations(guards, extra))))
                .thenApply(changes -> changes.get(changes.size() - 1).revision());
    }

    private static Transaction withMutations(Transaction.Builder guards, Transaction extra) {
        Transaction built = guards.build();
        List<Mutation> mutations = new ArrayList<>(built.mutations());
        mutations.addAll(extra.mutations());
        return new Transaction(built.conditions(), mutations);
    }

    private CompletionStage<Void> addBudgets(
            List<PoolId> pools, WorkerId worker, AssignmentSpec next, Transaction.Builder guards) {
        CompletionStage<Void> previous = CompletableFuture.completedFuture(null);
        for (PoolId pool : pools) {
            RowKey key = BudgetRow.key(pool);
            boolean outOfService = next.pool().equals(pool) && next.phase() != WorkerPhase.ACTIVE;
            previous =
                    previous.thenCompose(nothing -> table.read(key))
                            .thenAccept(
                                    row -> {
                                        BudgetRow budget =
                                                row.map(r -> codec.decode(r.value()))
                                                        .orElse(BudgetRow.EMPTY);
                                        BudgetRow changed =
                                                outOfService
                                                        ? budget.with(worker, next.reason())
                                                        : budget.without(worker);
                                        String text = codec.encode(changed);
                                        row.ifPresentOrElse(
                                                r -> guards.replace(r, text),
                                                () -> guards.insert(key, text));
                                    });
        }
        return previous;
    }
}
