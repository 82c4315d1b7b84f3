package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.instance.WaveRequest;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.PoolPolicy;
import org.quetzalscale.core.schedule.QueuePolicy;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StepDefinition;

/** Jobs of a simulation. */
final class SimulatedJobs {
    static final PoolId POOL = new PoolId("pool");
    static final QueueId QUEUE = new QueueId("queue");
    static final long EPOCH_MILLIS = 1_700_000_000_000L;
    static final int LASTING_TASKS = 3;
    static final int MAX_UNAVAILABLE = 1;

    private static final long WAVE_MILLIS = 25_000;

    private SimulatedJobs() {}

    /** The configuration with the pool and queue of the jobs. */
    static FleetPolicy policy(int maxAttempts) {
        return new FleetPolicy(
                1,
                List.of(),
                Map.of(QUEUE, new QueuePolicy(QUEUE, POOL, 0, maxAttempts, 1.6, 600, true)),
                Map.of(POOL, new PoolPolicy(POOL, false)),
                Map.of(),
                Map.of());
    }

    /** The operators' rows: the policy, and a wave over all instances. */
    static PolicyWatcher.OperatorRows operatorRows(int maxAttempts, SimulatedInstances instances) {
        FleetPolicy policy = policy(maxAttempts);
        return new PolicyWatcher.OperatorRows(
                "op",
                "op//",
                new RowKey("op//config"),
                "op//wave/",
                "op//evacuate/",
                text -> policy,
                text -> new WaveRequest(1, instances.ids(), WAVE_MILLIS, 1));
    }

    /** A job of one to three short steps, which is repeated once in one of four cases. */
    static JobDefinition drawn(int number, Random random) {
        int stepCount = 1 + random.nextInt(3);
        List<StepDefinition> steps = new ArrayList<>();
        for (int step = 0; step < stepCount; step++) {
            List<Integer> after = step > 0 && random.nextBoolean() ? List.of(step - 1) : List.of();
            steps.add(Steps.ending(1 + random.nextInt(4), 1 + random.nextInt(4), after));
        }
        boolean repeated = random.nextInt(4) == 0;
        Recurrence recurrence =
                repeated ? new Recurrence(2, EPOCH_MILLIS + 3_000, 4_000) : Recurrence.NONE;
        return job(number, steps, recurrence);
    }

    /** A job of one lasting step. */
    static JobDefinition lasting(int number) {
        StepDefinition step = Steps.lasting(LASTING_TASKS, 1, MAX_UNAVAILABLE);
        return job(number, List.of(step), Recurrence.NONE);
    }

    private static JobDefinition job(
            int number, List<StepDefinition> steps, Recurrence recurrence) {
        return new JobDefinition(
                new JobId(String.format("%016x", number)),
                QUEUE,
                POOL,
                Optional.empty(),
                EPOCH_MILLIS,
                "spec",
                steps,
                recurrence);
    }
}
