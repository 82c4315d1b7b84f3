package org.quetzalscale.standin.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** What a target ran, and how often it refused. Safe for use by several threads. */
public final class ExecutionLog {
    private static final int MAX_ENTRIES = 1_000_000;

    private final List<Execution> executions = new ArrayList<>();
    private long refused;
    private long notLogged;

    /**
     * The log as it is offered to tests.
     *
     * @param total executions whose request arrived in full
     * @param refused requests that were refused before they ran
     * @param notLogged executions beyond the size of the log
     * @param byTeam executions by team header
     * @param repeated number of executions of each request id that ran more than once
     * @param executions every execution, in order of start
     */
    public record Report(
            long total,
            long refused,
            long notLogged,
            Map<String, Long> byTeam,
            Map<String, Long> repeated,
            List<Execution> executions) {}

    /** Notes a start; returns the position for the calls that follow, or -1 if the log is full. */
    synchronized int start(Execution execution) {
        if (executions.size() >= MAX_ENTRIES) {
            notLogged++;
            return -1;
        }
        executions.add(execution);
        return executions.size() - 1;
    }

    synchronized void received(int position) {
        if (position >= 0 && position < executions.size()) {
            executions.set(position, executions.get(position).withReceived());
        }
    }

    synchronized void end(int position, boolean answered) {
        if (position >= 0 && position < executions.size()) {
            executions.set(
                    position, executions.get(position).ended(System.currentTimeMillis(), answered));
        }
    }

    synchronized void refuse() {
        refused++;
    }

    /** The log; entries only if asked for. */
    public synchronized Report report(boolean details) {
        List<Execution> ran = executions.stream().filter(Execution::received).toList();
        Map<String, Long> byId =
                ran.stream()
                        .filter(execution -> !execution.requestId().isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        Execution::requestId, TreeMap::new, Collectors.counting()));
        byId.values().removeIf(count -> count < 2);
        return new Report(
                ran.size(),
                refused,
                notLogged,
                ran.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Execution::team, TreeMap::new, Collectors.counting())),
                byId,
                details ? List.copyOf(executions) : List.of());
    }
}
