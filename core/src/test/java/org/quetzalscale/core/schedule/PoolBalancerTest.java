package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.instance.MoveOrder;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.WorkerReport;

final class PoolBalancerTest extends SchedulerFixture {
    private static final PoolId OTHER = new PoolId("other");
    private static final PoolId STANDBY = new PoolId("standby");
    private static final QueueId OTHER_QUEUE = new QueueId("other-queue");

    private final PoolBalancer balancer = new PoolBalancer(scheduler);
    private final List<FleetInstance> instances = new ArrayList<>();

    PoolBalancerTest() {
        super(policy());
    }

    private static FleetPolicy policy() {
        FleetPolicy base = Samples.policy(0);
        Map<QueueId, QueuePolicy> queues = new HashMap<>(base.queues());
        queues.put(OTHER_QUEUE, new QueuePolicy(OTHER_QUEUE, OTHER, 0, 3, 1.6, 600, false));
        return new FleetPolicy(
                1,
                List.of(),
                queues,
                Map.of(
                        Samples.POOL,
                        new PoolPolicy(Samples.POOL, false),
                        OTHER,
                        new PoolPolicy(OTHER, false),
                        STANDBY,
                        new PoolPolicy(STANDBY, true)),
                base.organisations(),
                Map.of());
    }

    private static InstanceId instance(int number) {
        return new InstanceId("m-" + number);
    }

    /** Adds instances to a pool; those outside the standby pool have workers that have reported. */
    private void add(PoolId pool, int from, int count) {
        for (int number = from; number < from + count; number++) {
            boolean standby = pool.equals(STANDBY);
            instances.add(
                    new FleetInstance(
                            instance(number),
                            pool,
                            InstanceState.UP,
                            "",
                            standby ? Optional.empty() : Optional.of(Samples.workerId(number))));
            if (!standby) {
                scheduler.registerWorker(Samples.worker(number, pool), now);
                report(number, List.of(), List.of());
            }
        }
    }

    private List<MoveOrder> planMoves() {
        balancer.updateInstances(instances, now, now);
        scheduler.updateInstances(instances, now, now);
        return balancer.plan(now);
    }

    private Map<PoolId, Long> byPool(List<MoveOrder> moves) {
        return moves.stream()
                .collect(Collectors.groupingBy(MoveOrder::pool, Collectors.counting()));
    }

    /** Guards against accepted jobs that nobody runs once their queue is removed (LOST). */
    @Nested
    final class RemovedQueues {
        private void removeQueueOfJobs() {
            FleetPolicy before = policy();
            Map<QueueId, QueuePolicy> queues = new HashMap<>(before.queues());
            queues.remove(Samples.QUEUE);
            scheduler.updatePolicy(
                    new FleetPolicy(
                            2,
                            List.of(),
                            queues,
                            before.pools(),
                            before.organisations(),
                            Map.of()));
        }

        @Test
        void keepTheirPoolSuppliedWhileItHasJobs() {
            add(OTHER, 11, 4);
            add(STANDBY, 21, 4);
            add(Samples.job(1, Samples.step(40, 4)));
            removeQueueOfJobs();

            assertThat(byPool(planMoves())).containsKey(Samples.POOL);
        }

        @Test
        void leaveNoWorkerOfTheirPoolOutOfUse() {
            add(Samples.POOL, 1, 10);
            add(OTHER, 11, 10);
            add(Samples.job(1, Samples.step(10, 10)));
            plan();
            planMoves();
            assertThat(scheduler.fleet().workersOf(Samples.POOL))
                    .anyMatch(worker -> worker.cordoned);

            removeQueueOfJobs();
            add(Samples.job(2, Samples.step(200, 4)));
            planMoves();

            assertThat(scheduler.fleet().workersOf(Samples.POOL))
                    .noneMatch(worker -> worker.cordoned);
        }
    }

    @Nested
    final class Bursts {
        /**
         * Guards against a late reaction to a burst of more than twice the capacity of the pool.
         */
        @Test
        void activateStandbyInstancesImmediately() {
            add(Samples.POOL, 1, 4);
            add(OTHER, 11, 4);
            add(STANDBY, 21, 4);
            add(Samples.job(1, Samples.step(200, 4)));

            List<MoveOrder> moves = planMoves();

            assertThat(moves).allMatch(move -> move.pool().equals(Samples.POOL));
            assertThat(moves)
                    .extracting(MoveOrder::instance)
                    .contains(instance(21), instance(22), instance(23), instance(24));
        }

        /**
         * Guards against a burst that finds no instances after a change of owner: only the
         * instances with orders of the earlier owner are suspended, not the whole fleet.
         */
        @Test
        void waitOnlyForInstancesWithRecentOrders() {
            add(Samples.POOL, 1, 4);
            add(OTHER, 11, 4);
            add(STANDBY, 21, 4);
            add(Samples.job(1, Samples.step(200, 4)));
            balancer.suspendMoves(Set.of(instance(21), instance(22)), now + 3_000);

            assertThat(planMoves())
                    .extracting(MoveOrder::instance)
                    .contains(instance(23), instance(24))
                    .doesNotContain(instance(21), instance(22));
            now += 3_000;
            assertThat(planMoves())
                    .extracting(MoveOrder::instance)
                    .contains(instance(21), instance(22));
        }

        /**
         * Guards against an occurrence that is due before its pool has the instances that it needs.
         */
        @Test
        void areAnticipatedForOccurrencesDueSoon() {
            add(Samples.POOL, 1, 4);
            add(OTHER, 11, 4);
            add(STANDBY, 21, 4);
            Recurrence hourly = new Recurrence(2, 1_000, 3_600_000);
            add(Samples.job(1, hourly, Samples.step(200, 4)));

            scheduler.plan(now, -60_000);
            assertThat(planMoves()).noneMatch(move -> move.pool().equals(Samples.POOL));
            scheduler.plan(now, -500);
            assertThat(planMoves())
                    .filteredOn(move -> move.pool().equals(Samples.POOL))
                    .hasSizeGreaterThanOrEqualTo(4);
        }

        /** Guards against a move that ends running tasks. */
        @Test
        void moveNoInstanceWithTasks() {
            add(Samples.POOL, 1, 4);
            add(OTHER, 11, 1);
            add(Samples.job(1, Samples.step(4, 16)));
            plan();
            orders.starts.forEach(PoolBalancerTest.this::confirm);

            List<MoveOrder> moves = planMoves();

            assertThat(moves).isEmpty();
        }
    }

    @Nested
    final class SmallFleets {
        /** Guards against a job that never starts because its pool needs less than one instance. */
        @Test
        void keepAnInstanceForLittleWork() {
            add(Samples.POOL, 1, 1);
            add(STANDBY, 21, 1);
            add(Samples.job(1, Samples.step(1, 0.1)));

            assertThat(planMoves()).noneMatch(move -> move.instance().equals(instance(1)));
            plan();
            assertThat(orders.starts).hasSize(1);
        }

        /**
         * Guards against an exception while planning: workers are registered before the list of
         * instances contains them.
         */
        @Test
        void keepWorkersWithUnknownInstancesInUse() {
            add(Samples.POOL, 1, 2);
            balancer.updateInstances(instances, now, now);

            assertThat(balancer.plan(now)).isEmpty();
        }

        /** Guards against workers that stay cordoned although their instances cannot be moved. */
        @Test
        void keepWorkersInUseThatCannotBeMoved() {
            add(Samples.POOL, 1, 1);
            for (MoveOrder move : planMoves()) {
                balancer.answered(move, InstanceAnswer.REJECTED, now);
            }
            now += 2_000;
            report(1, List.of(), List.of());
            assertThat(planMoves()).isEmpty();
            add(Samples.job(1, Samples.step(1, 1)));
            plan();
            assertThat(orders.starts).hasSize(1);
        }
    }

    @Nested
    final class QuietTimes {
        /** Guards against idle instances that cost money because they stay in their pool. */
        @Test
        void moveIdleInstancesToStandby() {
            add(Samples.POOL, 1, 10);
            add(OTHER, 11, 10);

            Map<PoolId, Long> moves = byPool(planMoves());

            assertThat(moves).containsOnlyKeys(STANDBY);
            assertThat(moves.get(STANDBY)).isEqualTo(8);
        }

        /** Guards against a second order for an instance whose previous order is still pending. */
        @Test
        void orderEachMoveOnce() {
            add(Samples.POOL, 1, 10);
            add(OTHER, 11, 10);
            planMoves();

            assertThat(planMoves()).isEmpty();
        }

        /** Guards against a worker that stays cordoned after its move was rejected. */
        @Test
        void uncordonTheWorkerOfARejectedMove() {
            add(Samples.POOL, 1, 10);
            add(OTHER, 11, 10);
            List<MoveOrder> moves = planMoves();
            moves.forEach(move -> balancer.answered(move, InstanceAnswer.BUSY, now));

            assertThat(scheduler.fleet().workers.values())
                    .allMatch(worker -> WorkerUse.acceptsNewTasks(worker, now));
        }

        /**
         * Guards against runs that are taken for ended while they go on (TWICE): the move was
         * carried out by an earlier owner's order, the worker has returned and reported, and a list
         * that lags shows that move.
         */
        @Test
        void keepAWorkerThatReportedAfterTheAnswer() {
            add(Samples.POOL, 1, 10);
            add(OTHER, 11, 10);
            MoveOrder move = planMoves().get(0);
            balancer.answered(move, InstanceAnswer.DONE, now);
            FleetInstance moved =
                    instances.stream()
                            .filter(each -> each.id().equals(move.instance()))
                            .findFirst()
                            .orElseThrow();
            WorkerId worker = moved.worker().orElseThrow();

            now += 200;
            scheduler.handleReport(
                    worker, new WorkerReport(now, 1, List.of(), List.of()), List.of(), now, now);
            instances.replaceAll(each -> each == moved ? moving(each) : each);
            assertThat(balancer.updateInstances(instances, now, now)).isEmpty();

            assertThat(scheduler.fleet().workers).containsKey(worker);
        }

        private FleetInstance moving(FleetInstance instance) {
            return new FleetInstance(
                    instance.id(), STANDBY, InstanceState.MOVING, "", Optional.empty());
        }
    }

    @Nested
    final class Evacuations {
        /** Puts an instance into the evacuated zone. */
        private void evacuate(int number) {
            instances.replaceAll(
                    old ->
                            old.id().equals(instance(number))
                                    ? new FleetInstance(
                                            old.id(),
                                            old.pool(),
                                            old.state(),
                                            old.rack(),
                                            Optional.of(Samples.OTHER_ZONE),
                                            old.worker())
                                    : old);
            scheduler.updateEvacuatedZones(Set.of(Samples.OTHER_ZONE));
        }

        /** Guards against a pool that gets instances on which nothing may be started. */
        @Test
        void takeNoStandbyInstancesOfTheZone() {
            add(Samples.POOL, 1, 1);
            add(STANDBY, 21, 2);
            evacuate(21);
            add(Samples.job(1, Samples.step(200, 4)));

            assertThat(planMoves()).extracting(MoveOrder::instance).containsExactly(instance(22));
        }

        /** Guards against a pool that gets no replacement for its instances in the zone. */
        @Test
        void replaceTheCapacityInTheZone() {
            add(Samples.POOL, 1, 2);
            add(STANDBY, 21, 4);
            add(Samples.job(1, Samples.step(8, 4)));
            assertThat(byPool(planMoves())).doesNotContainKey(Samples.POOL);

            scheduler.updateEvacuatedZones(Set.of(Samples.ZONE));

            assertThat(byPool(planMoves())).containsKey(Samples.POOL);
        }

        /** Guards against moves of idle instances of the zone, which are of no use elsewhere. */
        @Test
        void moveNoInstancesOfTheZone() {
            add(Samples.POOL, 1, 6);
            scheduler.updateEvacuatedZones(Set.of(Samples.ZONE));

            assertThat(planMoves()).isEmpty();
            assertThat(planMoves()).isEmpty();
        }

        /** Guards against an unanswered move into a pool that is repeated during the evacuation. */
        @Test
        void repeatNoMovesOfTheZone() {
            add(Samples.POOL, 1, 1);
            add(STANDBY, 21, 1);
            add(Samples.job(1, Samples.step(200, 4)));
            MoveOrder move = planMoves().get(0);
            balancer.answered(move, InstanceAnswer.UNKNOWN, now);
            evacuate(21);
            now += 2_000;
            assertThat(planMoves()).isEmpty();

            scheduler.updateEvacuatedZones(Set.of());
            assertThat(planMoves()).containsExactly(move);
        }
    }
}
