package org.quetzalscale.core.billing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.id.TaskId;

/** Reconciles the ledger with the platform's records of executions. */
public final class Audit {
    private Audit() {}

    /**
     * Lists all differences, in order of tasks. Attempts that still run, or that ended without
     * having run, belong in no ledger.
     *
     * @param ledger all entries of the period
     * @param executions the platform's latest reports of all tasks of the period
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
                                        "the platform ran it: " + execution));
                    } else if (!matches(entry, execution)) {
                        differences.add(
                                new Difference(
                                        task,
                                        Difference.Kind.OTHER_USAGE,
                                        "billed " + entry + ", platform " + execution));
                    }
                });
        billed.forEach(
                (task, entry) -> {
                    if (!ran.containsKey(task)) {
                        differences.add(
                                new Difference(
                                        task,
                                        Difference.Kind.NOT_RUN,
                                        "billed without an execution: " + entry));
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
