package org.quetzalscale.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;

class FaultAttributionTest {
    private final FaultAttribution attribution = new FaultAttribution();

    private void failed(String job, String worker) {
        attribution.record(new JobId(job), new WorkerId(worker), false, "exit 3");
    }

    private void succeeded(String job, String worker) {
        attribution.record(new JobId(job), new WorkerId(worker), true, "");
    }

    @Nested
    class Jobs {
        @Test
        void jobThatFailsWhereOthersSucceedIsAtFault() {
            failed("bad", "w1");
            succeeded("x", "w1");
            failed("bad", "w2");
            assertThat(attribution.jobFault(new JobId("bad"))).isEmpty();
            succeeded("y", "w2");
            assertThat(attribution.jobFault(new JobId("bad")))
                    .hasValueSatisfying(
                            reason -> assertThat(reason).contains("w1", "w2", "exit 3"));
        }

        /**
         * Guards against blaming a job for broken workers, if successes from before its failures
         * count as proof that the workers are healthy.
         */
        @Test
        void successesBeforeTheFailureDoNotCount() {
            succeeded("x", "w1");
            succeeded("y", "w2");
            failed("victim", "w1");
            failed("victim", "w2");
            assertThat(attribution.jobFault(new JobId("victim"))).isEmpty();
        }
    }

    @Nested
    class Workers {
        @Test
        void workerThatFailsJobsThatSucceedElsewhereIsAtFault() {
            for (String job : new String[] {"a", "b", "c"}) {
                failed(job, "w1");
            }
            assertThat(attribution.isOnProbation(new WorkerId("w1"))).isTrue();
            assertThat(attribution.workerFault(new WorkerId("w1"))).isEmpty();
            for (String job : new String[] {"a", "b", "c"}) {
                succeeded(job, "w2");
            }
            assertThat(attribution.workerFault(new WorkerId("w1")))
                    .hasValueSatisfying(reason -> assertThat(reason).contains("3 jobs", "exit 3"));
            assertThat(attribution.workerFault(new WorkerId("w2"))).isEmpty();
        }

        /** Guards against blaming a worker for jobs that fail on every worker. */
        @Test
        void jobsThatFailEverywhereDoNotCount() {
            for (String job : new String[] {"a", "b", "c"}) {
                failed(job, "w1");
                failed(job, "w2");
            }
            assertThat(attribution.workerFault(new WorkerId("w1"))).isEmpty();
        }
    }
}
