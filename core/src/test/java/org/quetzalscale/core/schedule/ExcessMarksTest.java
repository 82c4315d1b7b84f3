package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StepDefinition;

final class ExcessMarksTest {
    private static final double RATE = 3;
    private static final long START = 1_700_000_000_000L;

    private final ExcessMarks marks = new ExcessMarks();

    @BeforeEach
    void declareRate() {
        marks.updatePolicy(policy(RATE));
    }

    private static FleetPolicy policy(double rate) {
        return new FleetPolicy(
                1,
                List.of(),
                Map.of(),
                Map.of(),
                Map.of(
                        Samples.ORGANISATION,
                        new OrganisationPolicy(Samples.ORGANISATION, rate, rate, Resources.NONE)),
                Map.of());
    }

    private static JobDefinition accepted(int number, long epochMillis) {
        return accepted(number, epochMillis, Recurrence.NONE, Samples.step(1, 1));
    }

    private static JobDefinition accepted(
            int number, long epochMillis, Recurrence recurrence, StepDefinition step) {
        return new JobDefinition(
                Samples.jobId(number),
                Samples.QUEUE,
                Samples.POOL,
                Optional.of(Samples.ORGANISATION),
                epochMillis,
                "spec",
                List.of(step),
                recurrence);
    }

    /** Jobs at a multiple of the declared rate. */
    private static List<JobDefinition> sent(double factor, int seconds) {
        List<JobDefinition> jobs = new ArrayList<>();
        int count = (int) (factor * RATE * seconds);
        for (int number = 1; number <= count; number++) {
            jobs.add(accepted(number, START + number * 1_000L * seconds / count));
        }
        return jobs;
    }

    private static List<Boolean> marksOf(ExcessMarks marks, List<JobDefinition> jobs) {
        return jobs.stream().map(job -> marks.isExcess(job.id())).toList();
    }

    private long excessOf(List<JobDefinition> jobs) {
        return marksOf(marks, jobs).stream().filter(excess -> excess).count();
    }

    @Nested
    final class WithinTheRate {
        /**
         * Guards against marks on an organisation that keeps to its rate over five seconds and
         * sends everything at once, at any point of each five seconds.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void neverMarksClustersWithinFiveSeconds(long seed) {
            Random random = new Random(seed);
            List<JobDefinition> jobs = new ArrayList<>();
            long time = START;
            for (int cluster = 0; cluster < 200; cluster++) {
                for (int i = 0; i < RATE * 5; i++) {
                    jobs.add(accepted(jobs.size() + 1, time));
                }
                time += 5_000 + random.nextInt(3_000);
            }
            jobs.forEach(marks::add);

            assertThat(excessOf(jobs)).isZero();
        }

        /** Guards against marks without a declared rate. */
        @Test
        void marksNothingWithoutADeclaredRate() {
            marks.updatePolicy(policy(0));
            List<JobDefinition> jobs = sent(7, 8);
            jobs.forEach(marks::add);

            assertThat(excessOf(jobs)).isZero();
        }

        /** Guards against an organisation whose rate is too low for any token at all. */
        @Test
        void acceptsSingleJobsAtAVeryLowRate() {
            marks.updatePolicy(policy(0.01));
            List<JobDefinition> jobs = List.of(accepted(1, START), accepted(2, START + 100_000));
            jobs.forEach(marks::add);

            assertThat(excessOf(jobs)).isZero();
        }

        /** Guards against marks on jobs whose time is fixed or that never end. */
        @Test
        void marksNoLastingOrRecurringJob() {
            sent(7, 8).forEach(marks::add);
            JobDefinition lasting =
                    accepted(9_001, START + 8_000, Recurrence.NONE, Samples.lasting(1, 1, 1));
            JobDefinition recurring =
                    accepted(
                            9_002,
                            START + 8_000,
                            new Recurrence(3, START, 1_000),
                            Samples.step(1, 1));
            marks.add(lasting);
            marks.add(recurring);

            assertThat(excessOf(List.of(lasting, recurring))).isZero();
        }
    }

    @Nested
    final class BeyondTheRate {
        /** Guards against an organisation that takes more than its burst and rate unmarked. */
        @Test
        void marksAllButTheBurstAndTheRate() {
            List<JobDefinition> jobs = sent(7, 8);
            jobs.forEach(marks::add);

            double within = RATE * (8 + ExcessMarks.BURST_SECONDS);
            assertThat((double) jobs.size() - excessOf(jobs)).isBetween(within - 2, within + 1);
        }

        /** Guards against an owner whose marks depend on the order in which rows arrive. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void marksTheSameJobsInAnyOrderOfTheirRows(long seed) {
            List<JobDefinition> jobs = sent(2, 30);
            jobs.forEach(marks::add);
            List<JobDefinition> shuffled = new ArrayList<>(jobs);
            Collections.shuffle(shuffled, new Random(seed));
            ExcessMarks other = new ExcessMarks();
            other.updatePolicy(policy(RATE));
            for (JobDefinition job : shuffled) {
                other.add(job);
                other.isExcess(job.id());
            }

            assertThat(excessOf(jobs)).isPositive();
            assertThat(marksOf(other, jobs)).isEqualTo(marksOf(marks, jobs));
        }

        /** Guards against a bucket that is full again when the rows of old jobs are deleted. */
        @Test
        void keepsTheMarksWhenOldRowsAreDeleted() {
            List<JobDefinition> jobs = sent(3, 20);
            jobs.forEach(marks::add);
            List<JobDefinition> kept = jobs.subList(60, jobs.size());
            List<Boolean> before = marksOf(marks, kept);
            jobs.subList(0, 60).forEach(job -> marks.remove(job.id()));
            marks.updatePolicy(policy(2 * RATE));
            marks.updatePolicy(policy(RATE));

            assertThat(before).contains(true, false);
            assertThat(marksOf(marks, kept)).isEqualTo(before);
        }
    }

    @Nested
    final class WithClocksThatAreOff {
        /** Guards against marks on all later jobs because of one clock far ahead. */
        @Test
        void ignoresOneClockFarAhead() {
            List<JobDefinition> jobs = sent(1, 20);
            marks.add(accepted(9_001, START + 3_600_000));
            marks.add(accepted(9_002, -1));
            jobs.forEach(marks::add);

            assertThat(excessOf(jobs)).isZero();
            assertThat(marks.tokensAt(Samples.ORGANISATION, START + 20_000)).isNotEmpty();
        }

        /** Guards against tokens without limit from a clock that jumps to and fro. */
        @Test
        void limitsAnOrganisationWhoseAcceptingClockJumps() {
            List<JobDefinition> jobs = new ArrayList<>();
            for (JobDefinition job : sent(7, 8)) {
                int number = jobs.size() + 1;
                long jump = number % 2 == 0 ? 5_000 : -5_000;
                jobs.add(accepted(number, job.acceptedEpochMillis() + jump));
            }
            jobs.forEach(marks::add);

            double limit = RATE * (8 + 10 + ExcessMarks.BURST_SECONDS);
            assertThat((double) jobs.size() - excessOf(jobs)).isLessThanOrEqualTo(limit + 1);
        }
    }
}
