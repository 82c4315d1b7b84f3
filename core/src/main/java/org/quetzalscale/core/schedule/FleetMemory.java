package org.quetzalscale.core.schedule;

import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Decides on arrival whether an owner can hold one more job. It answers callers that submit jobs
 * faster than the fleet runs them: an owner without memory would serve nobody.
 *
 * <p>The state of tasks is limited by {@link OpenTasks}; this limit is for what a job declares.
 */
public final class FleetMemory {
    /** What the jobs that an owner knows may take. */
    public static final long MAX_MIB = 48;

    /** Time in which an owner may have forgotten some jobs. */
    public static final long RETRY_AFTER_SECONDS = 5;

    private static final int MIB_SHIFT = 20;
    private static final long JOB_BYTES = 700;
    private static final long STEP_BYTES = 250;
    private static final long CHARACTER_BYTES = 2;

    private FleetMemory() {}

    /** About how much memory the definition of a job takes. */
    public static long bytes(JobDefinition job) {
        long bytes = JOB_BYTES + CHARACTER_BYTES * job.spec().length();
        for (StepDefinition step : job.steps()) {
            long label = step.requiredLabel().map(String::length).orElse(0);
            long rack = step.dataRack().map(String::length).orElse(0);
            bytes += STEP_BYTES + CHARACTER_BYTES * (label + rack);
            bytes += Integer.BYTES * step.after().size();
        }
        return bytes;
    }

    /** Whole MiB of a number of bytes, as an owner publishes them. */
    public static long toMib(long bytes) {
        return bytes >> MIB_SHIFT;
    }

    /**
     * Whether the owner can hold a job.
     *
     * @param heldMib what the owner's jobs took when it last published it, in MiB
     * @param localBytes what this instance has accepted that the owner may not have counted
     * @param instances number of instances that accept jobs: each may fill its part of the rest
     */
    public static boolean permits(JobDefinition job, long heldMib, long localBytes, int instances) {
        long part = (Math.max(0, MAX_MIB - heldMib) << MIB_SHIFT) / Math.max(1, instances);
        return localBytes + bytes(job) <= part;
    }
}
