package org.quetzalscale.core.billing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;

class AuditTest {
    private static TaskReport execution(String task, TaskState state, long runMillis) {
        return new TaskReport(
                new TaskId(task), new WorkerId("w1"), state, runMillis, runMillis, 10, "", "");
    }

    private static LedgerEntry entry(String job, int attempt, long runMillis) {
        TaskReport report = execution(job + "-" + attempt, TaskState.SUCCEEDED, runMillis);
        return LedgerEntry.of(new JobId(job), attempt, new TeamId("t"), report);
    }

    @Nested
    class Reconciliation {
        @Test
        void attemptsThatDidNotRunOrStillRunAreNoDifference() {
            List<TaskReport> executions =
                    List.of(
                            execution("a-1", TaskState.SUCCEEDED, 5),
                            execution("b-1", TaskState.RUNNING, 5),
                            execution("c-1", TaskState.STOPPED, 0));
            assertThat(Audit.reconcile(List.of(entry("a", 1, 5)), executions)).isEmpty();
        }

        /** Guards against billing work that did not run and against work that is not billed. */
        @Test
        void eachKindOfDifferenceIsListed() {
            List<TaskReport> executions =
                    List.of(
                            execution("a-1", TaskState.SUCCEEDED, 5),
                            execution("a-2", TaskState.FAILED, 7));
            List<LedgerEntry> ledger = List.of(entry("a", 1, 6), entry("b", 1, 9));
            assertThat(Audit.reconcile(ledger, executions))
                    .extracting(Difference::kind)
                    .containsExactly(
                            Difference.Kind.OTHER_USAGE,
                            Difference.Kind.NOT_BILLED,
                            Difference.Kind.NOT_RUN);
        }
    }
}
