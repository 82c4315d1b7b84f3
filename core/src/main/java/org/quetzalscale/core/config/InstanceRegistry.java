package org.quetzalscale.core.config;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Rows {@code instance/<id>} of the instances that have started. An instance writes its row before
 * a table read may make its copy valid, and the instance that accepts a change reads the rows after
 * its commit. The rows therefore include every instance whose copy is valid through a read before
 * the commit, even if the platform's list is outdated. Stages fail with the errors of the table.
 */
public final class InstanceRegistry {
    private static final String PREFIX = "instance/";

    private final TransactionalTable table;

    /** Creates a registry in the given table. */
    public InstanceRegistry(TransactionalTable table) {
        this.table = table;
    }

    /** Writes the row of an instance; idempotent. */
    public CompletionStage<Void> register(InstanceId instance, long incarnation) {
        return commit(Transaction.builder().put(key(instance), Long.toString(incarnation)).build());
    }

    /** Deletes the rows of instances that have ended. */
    public CompletionStage<Void> remove(Collection<InstanceId> ended) {
        Transaction.Builder transaction = Transaction.builder();
        ended.forEach(instance -> transaction.add(Mutation.delete(key(instance))));
        return commit(transaction.build());
    }

    /** Returns the instances that have a row. */
    public CompletionStage<SortedSet<InstanceId>> registered() {
        return table.scan(PREFIX)
                .thenApply(
                        rows -> {
                            SortedSet<InstanceId> instances = new TreeSet<>();
                            rows.forEach(row -> instances.add(instance(row.key())));
                            return instances;
                        });
    }

    private CompletionStage<Void> commit(Transaction transaction) {
        return table.commit(transaction).thenApply(result -> null);
    }

    private static RowKey key(InstanceId instance) {
        return new RowKey(PREFIX + instance);
    }

    private static InstanceId instance(RowKey key) {
        return new InstanceId(key.value().substring(PREFIX.length()));
    }
}
