package org.quetzalscale.core.schedule;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

/** Jobs, workers and configurations for tests of the scheduler. */
final class Samples {
    static final PoolId POOL = new PoolId("lab");
    static final ZoneId ZONE = new ZoneId("zone-a");
    static final ZoneId OTHER_ZONE = new ZoneId("zone-b");
    static final QueueId QUEUE = new QueueId("quick");
    static final OrganisationId ORGANISATION = new OrganisationId("coop");
    static final Resources WORKER_CAPACITY = new Resources(16, 32_768, 0, 0);
    static final int MAX_ATTEMPTS = 3;

    private Samples() {}

    static FleetPolicy policy(double capCores) {
        return new FleetPolicy(
                1,
                List.of(),
                Map.of(QUEUE, new QueuePolicy(QUEUE, POOL, 0, MAX_ATTEMPTS, 1.6, 600, false)),
                Map.of(POOL, new PoolPolicy(POOL, false)),
                Map.of(
                        ORGANISATION,
                        new OrganisationPolicy(
                                ORGANISATION, 1, 0, new Resources(capCores, 0, 0, 0))),
                Map.of());
    }

    static WorkerId workerId(int number) {
        return new WorkerId("i-" + number);
    }

    static WorkerEntry worker(int number) {
        return worker(number, POOL);
    }

    static WorkerEntry worker(int number, PoolId pool) {
        return worker(number, pool, 1);
    }

    /** The worker in an incarnation that started at the given time. */
    static WorkerEntry startedAt(int number, long startedEpochMillis) {
        return worker(number, POOL, startedEpochMillis);
    }

    static WorkerEntry draining(int number) {
        return worker(number, POOL, 1, true, WORKER_CAPACITY);
    }

    /** The worker with another number of cores. */
    static WorkerEntry withCores(int number, double cores) {
        return worker(number, POOL, 1, false, new Resources(cores, 32_768, 0, 0));
    }

    /** The worker in the given zone, which stays cold for the given time. */
    static WorkerEntry inZone(int number, ZoneId zone, long coldMillis) {
        WorkerEntry entry = worker(number);
        return new WorkerEntry(
                entry.id(),
                entry.pool(),
                zone,
                entry.address(),
                entry.capacity(),
                entry.labels(),
                entry.rack(),
                false,
                coldMillis,
                entry.startedEpochMillis());
    }

    /** The empty report of an incarnation that started at the given time. */
    static WorkerReport reportOf(long startedEpochMillis) {
        return new WorkerReport(0, startedEpochMillis, List.of(), List.of());
    }

    private static WorkerEntry worker(int number, PoolId pool, long startedEpochMillis) {
        return worker(number, pool, startedEpochMillis, false, WORKER_CAPACITY);
    }

    private static WorkerEntry worker(
            int number,
            PoolId pool,
            long startedEpochMillis,
            boolean draining,
            Resources capacity) {
        return new WorkerEntry(
                workerId(number),
                pool,
                ZONE,
                new InetSocketAddress("10.0.0." + number, 8080),
                capacity,
                List.of("a", "rack-" + number),
                "rack-" + number,
                draining,
                0,
                startedEpochMillis);
    }

    static JobId jobId(int number) {
        return new JobId(String.format("%016x", number));
    }

    static JobDefinition job(int number, StepDefinition... steps) {
        return job(number, Recurrence.NONE, steps);
    }

    static JobDefinition job(int number, Recurrence recurrence, StepDefinition... steps) {
        return new JobDefinition(
                jobId(number),
                QUEUE,
                POOL,
                Optional.of(ORGANISATION),
                0,
                "spec",
                List.of(steps),
                recurrence);
    }

    static TaskRef task(int job, int step, int index) {
        return new TaskRef(jobId(job), 0, step, index);
    }

    static StepDefinition step(int count, double cores, Integer... after) {
        return step(count, cores, 500, List.of(after));
    }

    /** A step whose tasks declare the given run time. */
    static StepDefinition declared(int count, long estimateMillis) {
        return step(count, 1, estimateMillis, List.of());
    }

    private static StepDefinition step(
            int count, double cores, long estimateMillis, List<Integer> after) {
        return new StepDefinition(
                count,
                new Resources(cores, 100, 0, 0),
                estimateMillis,
                after,
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                0,
                false,
                0);
    }

    /** A step whose tasks run only together. */
    static StepDefinition gang(int count, double cores) {
        StepDefinition step = step(count, cores);
        return new StepDefinition(
                count,
                step.need(),
                step.estimateMillis(),
                List.of(),
                false,
                true,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                0,
                false,
                0);
    }

    static StepDefinition lasting(int count, double cores, int maxUnavailable) {
        return lasting(count, cores, maxUnavailable, 500);
    }

    static StepDefinition lasting(
            int count, double cores, int maxUnavailable, long estimateMillis) {
        return new StepDefinition(
                count,
                new Resources(cores, 100, 0, 0),
                estimateMillis,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                true,
                200,
                false,
                maxUnavailable);
    }
}
