package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.schedule.FormerRuns.Verdict;

/** When a new owner may start the jobs of earlier terms. */
final class FormerRunsTest {
    private static Verdict verdict(
            boolean workersCalled,
            boolean entriesReported,
            boolean instancesReported,
            boolean leasesExpired) {
        return new FormerRuns(workersCalled, entriesReported, instancesReported, leasesExpired)
                .verdict();
    }

    @Nested
    class WorkersThatHaveNotReported {
        /** Guards against a second run of a task whose worker is up without an entry (TWICE). */
        @Test
        void holdJobsWhileAnInstanceIsUpWithoutAReport() {
            assertThat(verdict(true, true, false, false)).isEqualTo(Verdict.HOLD);
        }

        /** Guards against a second run of a task whose worker is listed and does not respond. */
        @Test
        void holdJobsWhileAnEntryIsWithoutAReport() {
            assertThat(verdict(true, false, true, false)).isEqualTo(Verdict.HOLD);
        }

        /** Guards against jobs that wait for ever for a worker that is gone (LOST). */
        @Test
        void holdJobsOnlyUntilTheirLeasesExpire() {
            assertThat(verdict(true, false, false, true)).isEqualTo(Verdict.EXPIRED);
        }
    }

    @Nested
    class WorkersThatHaveReported {
        /** Guards against a takeover that waits for leases although all runs are known. */
        @Test
        void releaseJobsAtOnce() {
            assertThat(verdict(true, true, true, false)).isEqualTo(Verdict.REPORTED);
        }

        /** Guards against jobs that start before the workers in the queue of calls are known. */
        @Test
        void waitUntilEveryWorkerWasCalled() {
            assertThat(verdict(false, true, true, true)).isEqualTo(Verdict.HOLD);
        }
    }
}
