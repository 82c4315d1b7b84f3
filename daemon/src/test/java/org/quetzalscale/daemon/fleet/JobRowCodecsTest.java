package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.JobTerms;
import org.quetzalscale.core.task.StepProgress;

/** The texts of rows, also those of earlier releases. */
final class JobRowCodecsTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final JobTerms TERMS =
            new JobTerms(2, 4, 1.6, 600, 200, 3.5, new Resources(64, 1_024, 1, 0));

    @Nested
    class Definitions {
        /** Guards against terms that a new owner reads differently (LOST, BUDGET, QUOTA). */
        @Test
        void keepTheTerms() {
            JobDefinition job = OwnerFixture.job(JOB).withTerms(TERMS);
            String text = JobRowCodecs.DEFINITION.encode(job);
            assertThat(JobRowCodecs.DEFINITION.decode(text)).isEqualTo(job);
        }

        /**
         * Guards against jobs of an earlier release that cannot be read after an upgrade (LOST).
         */
        @Test
        void ofAnEarlierReleaseHaveNoTerms() {
            String text =
                    "{\"id\":\"00000000000000aa\",\"queue\":\"quick\",\"pool\":\"lab\",\"accepted\":7,"
                            + "\"spec\":\"s\",\"steps\":[{\"count\":2,\"cores\":1.5,\"memory\":64.0}]}";
            JobDefinition job = JobRowCodecs.DEFINITION.decode(text);
            assertThat(job.terms()).isEmpty();
            assertThat(job.taskCount()).isEqualTo(2);
            assertThat(JobRowCodecs.DEFINITION.encode(job)).isEqualTo(text);
        }
    }

    @Nested
    class Progress {
        /** Guards against progress of an earlier release that cannot be read after an upgrade. */
        @Test
        void ofAnEarlierReleaseHasItsSteps() {
            String text =
                    "{\"id\":\"00000000000000aa\",\"phase\":\"RUNNING\",\"steps\":[{\"done\":[5],"
                            + "\"failures\":{\"1\":[7]},\"checkpoints\":{\"1\":\"abc\"}}]}";
            StepProgress step = JobRowCodecs.PROGRESS.decode(text).steps().get(0);
            assertThat(step.done()).isEqualTo(BitSet.valueOf(new long[] {5}));
            assertThat(step.failures()).containsOnlyKeys(1);
            assertThat(step.checkpoints()).isEqualTo(Map.of(1, "abc"));
        }

        /**
         * Guards against an earlier release that reads no steps and starts the job again (TWICE).
         */
        @Test
        void withoutStepsCannotBeReadByAnEarlierRelease() {
            BitSet done = BitSet.valueOf(new long[] {3});
            String text =
                    JobRowCodecs.encodeWithoutSteps(
                            new JobProgress(JOB, JobPhase.RUNNING, done, List.of()));
            assertThat(text).doesNotContain("\"steps\"");
            assertThat(JobRowCodecs.PROGRESS.decode(text).doneOccurrences()).isEqualTo(done);
        }
    }
}
