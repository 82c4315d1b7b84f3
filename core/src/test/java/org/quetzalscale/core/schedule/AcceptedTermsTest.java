package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.JobTerms;
import org.quetzalscale.core.task.RunEnd;

/** Jobs whose queue and organisation are removed from the configuration while they run. */
final class AcceptedTermsTest extends SchedulerFixture {
    private static final FleetPolicy WITHOUT_QUEUES =
            new FleetPolicy(2, List.of(), Map.of(), Map.of(), Map.of(), Map.of());

    private static final int WORKERS = 8;
    private static final long RETRY_MILLIS = 1_000;

    AcceptedTermsTest() {
        super(Samples.policy(NO_CAP));
    }

    private static JobTerms terms(int priority, int maxAttempts, double stretch, Resources cap) {
        return new JobTerms(priority, maxAttempts, stretch, 600, 2, 5, cap);
    }

    private static JobDefinition job(int number, int maxAttempts, double capCores) {
        Resources cap = new Resources(capCores, 0, 0, 0);
        return Samples.job(number, Samples.step(6, 2)).withTerms(terms(0, maxAttempts, 1.6, cap));
    }

    private void addWorkers() {
        for (int worker = 1; worker <= WORKERS; worker++) {
            addWorker(worker);
        }
    }

    /** Starts the only waiting task, and reports that the run has failed. */
    private void failNextRun() {
        int before = orders.starts.size();
        now += RETRY_MILLIS;
        plan();
        assertThat(orders.starts).hasSize(before + 1);
        RecordedOrders.Start start = orders.lastStart();
        confirm(start);
        int worker = Integer.parseInt(start.worker().value().substring(2));
        report(worker, List.of(), List.of(end(before + 1, start, RunEnd.FAILED)));
    }

    private JobProgress lastRecord() {
        List<JobProgress> changed = scheduler.takeChangedJobs();
        return changed.get(changed.size() - 1);
    }

    @Nested
    class OfAQueue {
        /**
         * Guards against a job that fails before its last attempt (LOST), or is retried after it
         * (BUDGET), because the attempts of a removed queue are not known.
         */
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 4, 7})
        void keepTheAttempts(int maxAttempts) {
            addWorkers();
            add(
                    Samples.job(1, Samples.step(1, 1))
                            .withTerms(terms(0, maxAttempts, 1.6, Resources.NONE)));
            scheduler.updatePolicy(WITHOUT_QUEUES);
            for (int attempt = 1; attempt < maxAttempts; attempt++) {
                failNextRun();
                assertThat(lastRecord().phase()).isNotEqualTo(JobPhase.FAILED);
            }
            failNextRun();
            assertThat(lastRecord().phase()).isEqualTo(JobPhase.FAILED);
        }

        /** Guards against a new owner that permits other attempts than the former one. */
        @Test
        void keepTheAttemptsThroughATakeover() {
            addWorkers();
            JobDefinition job =
                    Samples.job(1, Samples.step(1, 1)).withTerms(terms(0, 4, 1.6, Resources.NONE));
            add(job);
            failNextRun();
            JobProgress recorded = lastRecord();

            scheduler = new FleetScheduler(WITHOUT_QUEUES, orders, 1_000);
            scheduler.addJob(job, Optional.of(recorded), now, now);
            addWorkers();
            failNextRun();
            failNextRun();
            assertThat(lastRecord().phase()).isNotEqualTo(JobPhase.FAILED);
            failNextRun();
            assertThat(lastRecord().phase()).isEqualTo(JobPhase.FAILED);
        }

        /** Guards against jobs of a removed queue that precede all others, or come after them. */
        @Test
        void keepThePriorityAndTheObjective() {
            QueuePolicy queue =
                    WITHOUT_QUEUES.queueOf(
                            Samples.job(1, Samples.step(1, 1))
                                    .withTerms(terms(3, 4, 2.5, Resources.NONE)));
            assertThat(queue.priority()).isEqualTo(3);
            assertThat(queue.stretch()).isEqualTo(2.5);
            assertThat(queue.targetMillis()).isEqualTo(600);
        }

        /** Guards against an operator's new priority that waiting jobs do not follow. */
        @Test
        void giveWayToThePriorityOfAConfiguredQueue() {
            QueuePolicy queue =
                    Samples.policy(NO_CAP)
                            .queueOf(
                                    Samples.job(1, Samples.step(1, 1))
                                            .withTerms(terms(3, 4, 2.5, Resources.NONE)));
            assertThat(queue.priority()).isZero();
            assertThat(queue.stretch()).isEqualTo(1.6);
            assertThat(queue.maxAttempts()).isEqualTo(4);
        }

        /** Guards against jobs of an earlier release that cannot be scheduled. */
        @Test
        void areOptional() {
            JobDefinition job = Samples.job(1, Samples.step(1, 1));
            assertThat(Samples.policy(NO_CAP).queueOf(job).maxAttempts())
                    .isEqualTo(Samples.MAX_ATTEMPTS);
            assertThat(WITHOUT_QUEUES.queueOf(job).maxAttempts())
                    .isEqualTo(QueuePolicy.DEFAULT_MAX_ATTEMPTS);
        }
    }

    @Nested
    class OfAnOrganisation {
        /** Guards against a removed organisation without a cap (QUOTA). */
        @Test
        void keepTheCap() {
            addWorker(1);
            scheduler.updatePolicy(WITHOUT_QUEUES);
            add(job(1, 3, 6));
            plan();
            assertThat(orders.starts).hasSize(3);
        }

        /** Guards against an old cap beside the one that operators configure. */
        @Test
        void giveWayToAConfiguredCap() {
            addWorker(1);
            scheduler.updatePolicy(Samples.policy(10));
            add(job(1, 3, 6));
            plan();
            assertThat(orders.starts).hasSize(5);
        }

        /** Guards against excess jobs that delay others once their organisation is removed. */
        @Test
        void keepTheRate() {
            scheduler.updatePolicy(WITHOUT_QUEUES);
            for (int number = 1; number <= 40; number++) {
                add(job(number, 3, 0));
            }
            assertThat(scheduler.excess().isExcess(Samples.jobId(1))).isFalse();
            assertThat(scheduler.excess().isExcess(Samples.jobId(40))).isTrue();
        }
    }
}
