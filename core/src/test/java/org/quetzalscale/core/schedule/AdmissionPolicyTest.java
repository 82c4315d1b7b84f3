package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.schedule.AdmissionPolicy.Known;
import org.quetzalscale.core.schedule.AdmissionPolicy.Reason;
import org.quetzalscale.core.schedule.AdmissionPolicy.Refusal;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.StepDefinition;

final class AdmissionPolicyTest {
    private static final double RATE = 3;
    private static final int INSTANCES = 30;
    private static final double COMPLETED = 100;
    private static final FleetPolicy POLICY =
            new FleetPolicy(
                    1,
                    List.of(),
                    Samples.policy(0).queues(),
                    Map.of(),
                    Map.of(
                            Samples.ORGANISATION,
                            new OrganisationPolicy(Samples.ORGANISATION, 1, RATE, Resources.NONE)),
                    Map.of());

    private final LocalAdmissions local = new LocalAdmissions();
    private long now = 1_000;

    /** Figures of a pool with a backlog of so many seconds. */
    private static LoadFigures figures(
            PoolId pool, double withinSeconds, double excessSeconds, double free, double tokens) {
        return new LoadFigures(
                0,
                Map.of(
                        pool,
                        new LoadFigures.PoolLoad(
                                new TreeMap<>(Map.of(0, withinSeconds * COMPLETED)),
                                excessSeconds * COMPLETED,
                                COMPLETED,
                                COMPLETED / 4,
                                free)),
                Map.of(Samples.ORGANISATION, tokens));
    }

    private static LoadFigures full(double tokens) {
        return figures(Samples.POOL, 1, 9, 0, tokens);
    }

    private Optional<Refusal> decide(JobDefinition job, LoadFigures load, long ageMillis) {
        Known known = new Known(load, ageMillis, local, INSTANCES);
        return AdmissionPolicy.decide(job, POLICY, Optional.of(known), now);
    }

    private static JobDefinition job(int number) {
        return Samples.job(number, Samples.step(1, 1));
    }

    /** Uses up what an instance may admit of the rate. */
    private void useUpLocalShare() {
        local.accepted(job(9_000), 0, now);
        local.figuresReplaced();
    }

    @Nested
    final class Excess {
        @Test
        void isRefusedWhenThePoolIsFull() {
            useUpLocalShare();

            assertThat(decide(job(1), full(0), 100)).map(Refusal::reason).contains(Reason.EXCESS);
        }

        /** Guards against refusals from figures of an owner that is gone. */
        @Test
        void isAcceptedWhenTheFiguresAreTooOldOrMissing() {
            useUpLocalShare();

            assertThat(decide(job(1), full(0), 2_000)).isEmpty();
            assertThat(AdmissionPolicy.decide(job(2), POLICY, Optional.empty(), now)).isEmpty();
        }

        /** Guards against refusals for one pool because another one is full. */
        @Test
        void isAcceptedForAnotherPool() {
            useUpLocalShare();
            LoadFigures otherFull = figures(new PoolId("other"), 1, 9, 0, 0);

            assertThat(decide(job(1), otherFull, 100)).isEmpty();
        }

        @Test
        void isAcceptedWhileThePoolHasCapacity() {
            useUpLocalShare();

            assertThat(decide(job(1), figures(Samples.POOL, 1, 9, 40, 0), 100)).isEmpty();
            assertThat(decide(job(2), figures(Samples.POOL, 1, 0.5, 0, 0), 100)).isEmpty();
        }

        @Test
        void isNeverALastingJob() {
            useUpLocalShare();

            assertThat(decide(Samples.job(1, Samples.lasting(1, 1, 1)), full(0), 100)).isEmpty();
        }

        /** Guards against two instances that both go on after the last place. */
        @Test
        void isAcceptedOnceByEachOfTwoInstancesWithTheLastPlace() {
            List<Long> accepted = new ArrayList<>();
            for (int instance = 0; instance < 2; instance++) {
                LocalAdmissions own = new LocalAdmissions();
                Known known = new Known(full(1), 100, own, 2);
                accepted.add(
                        java.util.stream.IntStream.range(0, 10)
                                .filter(
                                        number ->
                                                AdmissionPolicy.decide(
                                                                job(number),
                                                                POLICY,
                                                                Optional.of(known),
                                                                now)
                                                        .isEmpty())
                                .count());
            }

            assertThat(accepted).containsExactly(1L, 1L);
        }

        /** Guards against thirty instances that each admit the whole rate. */
        @Test
        void isAcceptedOnlyAtTheRateByAllInstancesTogether() {
            List<LocalAdmissions> instances = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new LocalAdmissions());
            }
            int accepted = 0;
            int sent = (int) (7 * RATE * 60);
            for (int number = 0; number < sent; number++) {
                now += 60_000 / sent;
                Known known =
                        new Known(full(0), 1_000, instances.get(number % INSTANCES), INSTANCES);
                accepted +=
                        AdmissionPolicy.decide(job(number), POLICY, Optional.of(known), now)
                                        .isEmpty()
                                ? 1
                                : 0;
            }

            assertThat(accepted).isBetween((int) (RATE * 50), (int) (RATE * 60) + INSTANCES);
        }
    }

    @Nested
    final class WithinTheRate {
        @Test
        void isAcceptedBesideAnyExcess() {
            assertThat(decide(job(1), figures(Samples.POOL, 1, 1_000, 0, 5), 100)).isEmpty();
        }

        /** Guards against refusals although estimates that are off by two make it in time. */
        @Test
        void isRefusedOnlyIfItIsCertainlyTooLate() {
            // The objective is 1.6 * 500 + 600 ms; three times that is 4.2 s.
            assertThat(decide(job(1), figures(Samples.POOL, 8.3, 0, 0, 5), 0)).isEmpty();
            assertThat(decide(job(2), figures(Samples.POOL, 9, 0, 0, 5), 0))
                    .map(Refusal::reason)
                    .contains(Reason.TOO_LATE);
        }

        /** Guards against a wait that is extrapolated from one instance to all of them. */
        @Test
        void isNotRefusedBecauseOfWorkThatOthersMayHaveAccepted() {
            // 40 core seconds: 0.4 s of the pool's work here, and 12 s at 30 instances alike.
            for (int number = 1; number <= 80; number++) {
                local.accepted(job(number), RATE / INSTANCES, now);
            }

            assertThat(decide(job(81), figures(Samples.POOL, 1, 0, 0, 500), 0)).isEmpty();
        }

        /** Guards against refusals because of work that comes later. */
        @Test
        void isNotRefusedBecauseOfLessUrgentQueues() {
            LoadFigures load =
                    new LoadFigures(
                            0,
                            Map.of(
                                    Samples.POOL,
                                    new LoadFigures.PoolLoad(
                                            new TreeMap<>(Map.of(1, 100 * COMPLETED)),
                                            0,
                                            COMPLETED,
                                            0,
                                            0)),
                            Map.of());

            assertThat(decide(job(1), load, 0)).isEmpty();
        }
    }

    /** Guards against large jobs that are refused more often than small ones of their queue. */
    @Test
    void largeJobsAreNotRefusedMoreOften() {
        Random random = new Random(3);
        int[] sent = new int[2];
        int[] accepted = new int[2];
        for (int number = 0; number < 4_000; number++) {
            now += 20;
            if (number % 5 == 0) {
                local.figuresReplaced();
            }
            int large = random.nextInt(10) == 0 ? 1 : 0;
            StepDefinition step = Samples.step(large == 1 ? 10 : 1, large == 1 ? 8 : 1);
            LoadFigures load = figures(Samples.POOL, 6 + 6 * random.nextDouble(), 2, 0, 1_000);
            sent[large]++;
            accepted[large] += decide(Samples.job(number, step), load, 500).isEmpty() ? 1 : 0;
        }
        double small = accepted[0] / (double) sent[0];
        double large = accepted[1] / (double) sent[1];

        assertThat(small).isBetween(0.01, 0.9);
        assertThat(large).isGreaterThanOrEqualTo(small / 2);
    }

    /** Guards against callers that return at once, or all together. */
    @Test
    void spreadsTheTimesAfterWhichCallersReturn() {
        useUpLocalShare();
        Set<Long> seconds = new TreeSet<>();
        for (int number = 0; number < 100; number++) {
            decide(job(number), full(0), 100).map(Refusal::retryAfterSeconds).map(seconds::add);
        }

        // A surplus of eight seconds of work, at a quarter of the completion rate, takes 32 s.
        assertThat(seconds).hasSizeGreaterThan(10);
        assertThat(seconds).allMatch(value -> value >= 30 && value <= 60);
    }
}
