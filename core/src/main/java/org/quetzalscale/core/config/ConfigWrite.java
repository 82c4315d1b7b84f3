package org.quetzalscale.core.config;

import java.util.List;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Transaction;

/**
 * Edits that are accepted together or not at all.
 *
 * @param edits the edits, in the order in which they take revisions
 * @param extra conditions and mutations of other rows that commit in the same transaction, such as
 *     the epoch of a lease or the row of a budget
 */
public record ConfigWrite(List<ResourceEdit> edits, Transaction extra) {
    /** Copies the edits. */
    public ConfigWrite {
        edits = List.copyOf(edits);
        if (edits.isEmpty()) {
            throw new IllegalArgumentException("a write without edits");
        }
    }

    /** A write of one resource. */
    public static ConfigWrite of(ResourceEdit edit) {
        return new ConfigWrite(List.of(edit), Transaction.builder().build());
    }

    /** Whether the condition on this row is one that the writer added. */
    boolean addsConditionOn(org.quetzalscale.core.table.RowKey key) {
        return extra.conditions().stream().map(Condition::key).anyMatch(key::equals);
    }

    /** Adds the extra conditions and mutations. */
    void addExtra(List<Condition> conditions, List<Mutation> mutations) {
        conditions.addAll(extra.conditions());
        mutations.addAll(extra.mutations());
    }
}
