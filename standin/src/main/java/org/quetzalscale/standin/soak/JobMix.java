package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;

/** Draws jobs of one to three steps from a seed. */
final class JobMix {
    private static final int MAX_STEPS = 3;
    private static final int MAX_TASKS = 5;
    private static final int CPU_UNIT = 500;
    private static final int MAX_CPU_UNITS = 6;
    private static final int MEMORY_MB = 512;
    private static final int LASTING_TASKS = 3;
    private static final int LEAST_MILLIS = 150;

    private final Random random;
    private final Durations durations;

    /**
     * How long tasks take: from a least time on, up to so much more.
     *
     * @param shortShare the part of the jobs with short tasks, from 0 to 1
     * @param mediumShare the part of the jobs with tasks of medium length
     */
    record Durations(
            double shortShare,
            int shortMillis,
            double mediumShare,
            int mediumMillis,
            int longMillis) {
        /** Tasks of all lengths. */
        static final Durations MIXED = new Durations(0.45, 900, 0.35, 2_500, 7_000);

        /** Mostly tasks of some hundred milliseconds, and a few of several seconds. */
        static final Durations MOSTLY_SHORT = new Durations(0.75, 300, 0.1, 2_500, 7_000);
    }

    JobMix(long seed, Durations durations) {
        this.random = new Random(seed);
        this.durations = durations;
    }

    /** Draws a job whose tasks end by themselves. */
    Job drawFinite() {
        long millis = drawMillis();
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("spec", WorkPlan.text(millis, false));
        ArrayNode steps = root.putArray("steps");
        int count = 1 + random.nextInt(MAX_STEPS);
        for (int i = 0; i < count; i++) {
            ObjectNode step = addStep(steps, 1 + random.nextInt(MAX_TASKS), millis);
            if (i > 0) {
                step.putArray("after").add(i - 1);
            }
        }
        return job(root, false);
    }

    /** Draws a job whose tasks run until it is cancelled. */
    Job drawLasting() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("spec", WorkPlan.text(0, true));
        addStep(root.putArray("steps"), LASTING_TASKS, 0).put("longRunning", true);
        return job(root, true);
    }

    private ObjectNode addStep(ArrayNode steps, int tasks, long millis) {
        return steps.addObject()
                .put("count", tasks)
                .put("cpu", CPU_UNIT * (1 + random.nextInt(MAX_CPU_UNITS)))
                .put("memMb", MEMORY_MB)
                .put("estimateMs", millis);
    }

    private Job job(ObjectNode root, boolean lasting) {
        return new Job(
                String.format("%016x", random.nextLong()),
                DeploymentConfig.SERVICES.get(random.nextInt(DeploymentConfig.SERVICES.size())),
                DeploymentConfig.TENANTS.get(random.nextInt(DeploymentConfig.TENANTS.size())),
                lasting,
                root.toString());
    }

    private long drawMillis() {
        double kind = random.nextDouble();
        int longest = durations.longMillis();
        if (kind < durations.shortShare()) {
            longest = durations.shortMillis();
        } else if (kind < durations.shortShare() + durations.mediumShare()) {
            longest = durations.mediumMillis();
        }
        return LEAST_MILLIS + random.nextInt(longest);
    }
}
