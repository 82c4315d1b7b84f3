package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.task.JobPhase;

/** A pool of one idle worker with 16 cores; tasks need 500 ms by their estimate. */
final class OnTimeSelectionTest {
    private static final long SLACK_MILLIS = 1_000;

    private final OnTimeSelection selection =
            new OnTimeSelection(new RunForecast(new RunTimeEstimator()));
    private final WorkerState worker = new WorkerState(Samples.worker(1));
    private int jobs;

    OnTimeSelectionTest() {
        worker.reported = true;
    }

    private StepRun step(int tasks, double cores) {
        JobRun job =
                new JobRun(Samples.job(++jobs, Samples.step(tasks, cores)), 0, new OpenTasks());
        job.occurrences.openDueBy(0);
        return job.steps(0).get(0);
    }

    private List<StepRanking.Rank> ranks(StepRun... steps) {
        List<StepRanking.Candidate> candidates = new ArrayList<>();
        for (StepRun step : steps) {
            candidates.add(
                    new StepRanking.Candidate(step, StepRanking.Rank.ON_TIME, 0, SLACK_MILLIS));
        }
        selection.apply(candidates, List.of(worker), 0);
        return candidates.stream().map(StepRanking.Candidate::rank).toList();
    }

    /** Guards against jobs that are left out while all can be served on time. */
    @Test
    void keepsAllJobsThatFit() {
        assertThat(ranks(step(8, 2), step(4, 2))).containsOnly(StepRanking.Rank.ON_TIME);
    }

    /** Guards against many jobs that become late for a single large one. */
    @Test
    void leavesOutTheJobWithTheMostWork() {
        assertThat(ranks(step(8, 2), step(8, 3), step(4, 2)))
                .containsExactly(
                        StepRanking.Rank.ON_TIME,
                        StepRanking.Rank.DEFERRED,
                        StepRanking.Rank.ON_TIME);
    }

    /** Guards against a job that is left out and taken back when estimates change a little. */
    @Test
    void takesAJobBackOnlyWithAMargin() {
        StepRun large = step(8, 3);
        StepRun small = step(3, 2);
        assertThat(ranks(large, small, step(4, 1)).get(0)).isEqualTo(StepRanking.Rank.DEFERRED);

        assertThat(ranks(large, small).get(0)).isEqualTo(StepRanking.Rank.DEFERRED);
        assertThat(ranks(large).get(0)).isEqualTo(StepRanking.Rank.ON_TIME);
    }

    /** Guards against large jobs that are always left out. */
    @Test
    void protectsTheLargestTenthOfAQueue() {
        StepRun[] small = new StepRun[20];
        Arrays.setAll(small, index -> step(2, 1));
        ranks(small);
        StepRun missed = step(4, 3.5);
        ranks(missed);
        selection.apply(
                new ArrayList<>(
                        List.of(new StepRanking.Candidate(missed, StepRanking.Rank.LATE, 0, 100))),
                List.of(worker),
                0);
        Arrays.stream(small).forEach(step -> step.job.phase = JobPhase.COMPLETED);

        List<StepRanking.Rank> ranks = ranks(step(4, 3.5), step(6, 2), step(4, 2));

        assertThat(ranks.get(0)).isEqualTo(StepRanking.Rank.ON_TIME);
        assertThat(ranks.get(1)).isEqualTo(StepRanking.Rank.DEFERRED);
    }
}
