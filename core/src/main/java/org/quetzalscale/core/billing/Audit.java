package org.quetzalscale.core.billing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.id.TaskId;

/** Reconciles the billing ledger with the platform's execution records. */
public final class Audit {
    private Audit() {}

    /**
     * Lists all differences: first those of executed tasks, then ledger entries without an
     * execution, each in order of task ids. Attempts that still run, or that ended without having
     * run, are not billed.
     *
     * @param ledger all ledger entries of the billing period
     * @param executions the platform's latest reports of all tasks of the billing period
     */
    public static List<Difference> reconcile(
            Collection<LedgerEntry> ledger, Collection<TaskReport> executions) {
        Map<TaskId, LedgerEntry> billed = new TreeMap<>();
        ledger.forEach(entry -> billed.put(entry.task(), entry));
        Map<TaskId, TaskReport> ran = new TreeMap<>();
        for (TaskReport execution : executions) {
            if (LedgerEntry.isBillable(execution)) {
                ran.put(execution.task(), execution);
            }
        }
        List<Difference> differences = new ArrayList<>();
        ran.forEach(
                (task, execution) -> {
                    LedgerEntry entry = billed.get(task);
                    if (entry == null) {
                        differences.add(
                                new Difference(
                                        task,
                                        Difference.Kind.NOT_BILLED,
                                        "executed but not billed: " + execution));
                    } else if (!matches(entry, execution)) {
                        differences.add(
                                new Difference(
                                        task,
                                        Difference.Kind.OTHER_USAGE,
                                        "billed " + entry + " but executed " + execution));
                    }
                });
        billed.forEach(
                (task, entry) -> {
                    if (!ran.containsKey(task)) {
                        differences.add(
                                new Difference(
                                        task,
                                        Difference.Kind.NOT_RUN,
                                        "billed but not executed: " + entry));
                    }
                });
        return differences;
    }

    private static boolean matches(LedgerEntry entry, TaskReport execution) {
        return entry.worker().equals(execution.worker())
                && entry.end() == execution.state()
                && entry.runMillis() == execution.runMillis()
                && entry.cpuMillis() == execution.cpuMillis()
                && entry.peakMemoryMib() == execution.peakMemoryMib();
    }
}
