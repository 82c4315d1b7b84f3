package org.quetzalscale.core.maintenance;

import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.RowKey;

/**
 * The row {@code budget/<pool>}: the workers that are out of service in the pool. Each grant of a
 * drain requires the row as it was read and changes it, so two grants in one pool never both commit
 * on the same budget.
 *
 * @param drains drain reason by worker name
 */
public record BudgetRow(Map<String, String> drains) {
    /** The row of a pool in which all workers are in service. */
    public static final BudgetRow EMPTY = new BudgetRow(Map.of());

    /** Makes a defensive copy of the drains. */
    public BudgetRow {
        drains = Map.copyOf(drains);
    }

    /** Returns the key of a pool's row. */
    public static RowKey key(PoolId pool) {
        return RowKey.of("budget", pool.value());
    }

    /** Returns the row with the worker out of service. */
    public BudgetRow with(WorkerId worker, String reason) {
        Map<String, String> changed = new TreeMap<>(drains);
        changed.put(worker.value(), reason);
        return new BudgetRow(changed);
    }

    /** Returns the row without the worker, which is in service or in another pool. */
    public BudgetRow without(WorkerId worker) {
        Map<String, String> changed = new TreeMap<>(drains);
        changed.remove(worker.value());
        return new BudgetRow(changed);
    }
}
