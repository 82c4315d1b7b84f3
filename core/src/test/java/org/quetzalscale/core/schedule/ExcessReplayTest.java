package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.WorkerReport;

/** Replays of twenty organisations that compete for five workers, in virtual time. */
final class ExcessReplayTest {
    private static final int ORGANISATIONS = 20;
    private static final int WORKERS = 5;
    private static final double RATE = 3;
    private static final double CORES = 2;
    private static final long RUN_MILLIS = 600;
    private static final long STEP_MILLIS = 20;
    private static final long LOAD_MILLIS = 16_000;
    private static final long BURST_FROM = 4_000;
    private static final long BURST_UNTIL = 12_000;
    private static final int GREEDY = 0;
    private static final int GREEDY_TOO = 1;

    /** From here on the bursts of the greedy organisations are used up. */
    private static final long STEADY_FROM = BURST_FROM + 3_000;

    /** Waiting times in milliseconds by organisation, in the order of the jobs' starts. */
    private static final class Replay {
        private final RecordedOrders orders = new RecordedOrders();
        private final FleetScheduler scheduler;
        private final PriorityQueue<Running> running =
                new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
        private final Map<JobId, Arrival> arrivals = new HashMap<>();
        private final Map<Integer, List<Long>> waits = new HashMap<>();
        private final Map<Integer, Double> steadyCores = new HashMap<>();
        private final Map<Integer, Double> burst;
        private double largeCores = CORES;
        private int handled;
        private int ends;

        private record Running(RecordedOrders.Start start, long endMillis) {}

        private record Arrival(int organisation, long millis) {}

        /**
         * Creates a replay.
         *
         * @param burst factor of the rate at which an organisation sends during the burst
         */
        Replay(double declaredRate, Map<Integer, Double> weights, Map<Integer, Double> burst) {
            this(declaredRate, weights, burst, LookAhead.FIRST_STEP);
        }

        Replay(
                double declaredRate,
                Map<Integer, Double> weights,
                Map<Integer, Double> burst,
                LookAhead lookAhead) {
            this.burst = burst;
            scheduler = new FleetScheduler(policy(declaredRate, weights), orders, 0, lookAhead);
            for (int worker = 1; worker <= WORKERS; worker++) {
                scheduler.registerWorker(Samples.worker(worker), 0);
                report(worker, List.of(), 0);
            }
        }

        private static FleetPolicy policy(double rate, Map<Integer, Double> weights) {
            Map<OrganisationId, OrganisationPolicy> organisations = new HashMap<>();
            for (int number = 0; number < ORGANISATIONS; number++) {
                OrganisationId id = new OrganisationId("o-" + number);
                double weight = weights.getOrDefault(number, 1.0);
                organisations.put(id, new OrganisationPolicy(id, weight, rate, Resources.NONE));
            }
            FleetPolicy plain = Samples.policy(0);
            return new FleetPolicy(
                    1, List.of(), plain.queues(), plain.pools(), organisations, Map.of());
        }

        Replay run() {
            Random random = new Random(7);
            for (long now = 0; now < LOAD_MILLIS * 3; now += STEP_MILLIS) {
                if (now < LOAD_MILLIS) {
                    arrive(now, random);
                }
                endRuns(now);
                scheduler.plan(now, now);
                confirmStarts(now);
            }
            return this;
        }

        private void arrive(long now, Random random) {
            for (int number = 0; number < ORGANISATIONS; number++) {
                boolean inBurst = now >= BURST_FROM && now < BURST_UNTIL;
                double factor = inBurst ? burst.getOrDefault(number, 1.0) : 1;
                if (random.nextDouble() < RATE * factor * STEP_MILLIS / 1_000) {
                    add(number, now);
                }
            }
        }

        private void add(int organisation, long now) {
            JobId id = Samples.jobId(arrivals.size() + 1);
            arrivals.put(id, new Arrival(organisation, now));
            scheduler.addJob(
                    new JobDefinition(
                            id,
                            Samples.QUEUE,
                            Samples.POOL,
                            Optional.of(new OrganisationId("o-" + organisation)),
                            now,
                            "spec",
                            List.of(Samples.step(1, cores(organisation))),
                            Recurrence.NONE),
                    Optional.empty(),
                    now,
                    now);
        }

        private double cores(int organisation) {
            return organisation == GREEDY_TOO ? largeCores : CORES;
        }

        private void confirmStarts(long now) {
            for (; handled < orders.starts.size(); handled++) {
                RecordedOrders.Start start = orders.starts.get(handled);
                scheduler.startAnswered(
                        start.worker(),
                        start.order().task(),
                        start.order().run(),
                        OrderAnswer.ACCEPTED,
                        now);
                running.add(new Running(start, now + RUN_MILLIS));
                Arrival arrival = arrivals.get(start.order().task().job());
                waits.computeIfAbsent(arrival.organisation(), key -> new ArrayList<>())
                        .add(now - arrival.millis());
                if (now >= STEADY_FROM && now < BURST_UNTIL) {
                    steadyCores.merge(
                            arrival.organisation(), cores(arrival.organisation()), Double::sum);
                }
            }
        }

        private void endRuns(long now) {
            Map<Integer, List<FinishedRun>> ended = new HashMap<>();
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                RecordedOrders.Start start = running.poll().start();
                int worker = Integer.parseInt(start.worker().value().substring(2));
                ended.computeIfAbsent(worker, key -> new ArrayList<>())
                        .add(SchedulerFixture.end(++ends, start, RunEnd.DONE));
            }
            ended.forEach((worker, runs) -> report(worker, runs, now));
        }

        private void report(int worker, List<FinishedRun> runs, long now) {
            WorkerReport report =
                    new WorkerReport(
                            now,
                            1,
                            running.stream()
                                    .filter(
                                            run ->
                                                    run.start()
                                                            .worker()
                                                            .equals(Samples.workerId(worker)))
                                    .map(run -> SchedulerFixture.running(run.start()))
                                    .toList(),
                            runs);
            scheduler.handleReport(Samples.workerId(worker), report, runs, now, now);
        }

        long started() {
            return waits.values().stream().mapToLong(List::size).sum();
        }

        /** The given fraction of the waiting times of all organisations but the greedy one. */
        long othersQuantile(double fraction) {
            List<Long> all = new ArrayList<>();
            waits.forEach(
                    (organisation, own) -> {
                        if (organisation != GREEDY) {
                            all.addAll(own);
                        }
                    });
            all.sort(Comparator.naturalOrder());
            return all.get((int) (fraction * (all.size() - 1)));
        }
    }

    @Nested
    final class OneGreedyOrganisation {
        /**
         * Guards against an organisation with seven times its rate for eight seconds that makes the
         * jobs of nineteen others wait.
         */
        @Test
        void doesNotDelayTheOthers() {
            Map<Integer, Double> seven = Map.of(GREEDY, 7.0);
            Replay old = new Replay(0, Map.of(), seven, LookAhead.NONE).run();
            Replay shared = new Replay(RATE, Map.of(), seven).run();
            for (Replay replay : List.of(old, shared)) {
                System.out.printf(
                        "%s order: others wait %d ms (median), %d ms (95th), %d ms (99th)%n",
                        replay == old ? "old" : "new",
                        replay.othersQuantile(0.5),
                        replay.othersQuantile(0.95),
                        replay.othersQuantile(0.99));
            }

            assertThat(shared.started()).isEqualTo(old.started());
            assertThat(old.othersQuantile(0.95)).isGreaterThan(800);
            assertThat(shared.othersQuantile(0.95)).isLessThan(400);
            assertThat(shared.othersQuantile(0.95)).isLessThan(old.othersQuantile(0.95) / 3);
        }
    }

    /** Guards against excess that is shared by numbers of jobs, or by who comes first. */
    @Nested
    final class TwoGreedyOrganisations {
        private final Map<Integer, Double> seven = Map.of(GREEDY, 7.0, GREEDY_TOO, 7.0);

        @Test
        void shareResourcesWithJobsOfDifferentSizes() {
            Replay replay = new Replay(RATE, Map.of(), seven);
            replay.largeCores = 2 * CORES;
            replay.run();

            assertThat(ratio(replay)).isBetween(0.75, 1.33);
        }

        @Test
        void shareResourcesByWeight() {
            Replay replay = new Replay(RATE, Map.of(GREEDY_TOO, 2.0), seven).run();

            assertThat(ratio(replay)).isBetween(1.5, 2.5);
        }

        private double ratio(Replay replay) {
            return replay.steadyCores.get(GREEDY_TOO) / replay.steadyCores.get(GREEDY);
        }
    }
}
