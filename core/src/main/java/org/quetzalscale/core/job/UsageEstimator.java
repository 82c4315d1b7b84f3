package org.quetzalscale.core.job;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.share.Resources;

/**
 * Estimates resource usage and run time of jobs by correcting their declarations with the usage of
 * earlier jobs of the same class, which is the same team and program. Estimates are quantiles of
 * recent samples, so that a single false report does not affect them. Not thread-safe.
 */
public final class UsageEstimator {
    /** Minimum number of samples of a class before its declarations are corrected. */
    private static final int MIN_SAMPLES = 3;

    /** Number of most recent samples that are kept for each class. */
    private static final int MAX_SAMPLES = 16;

    /** Maximum number of classes; the least recently used one is evicted. */
    private static final int MAX_CLASSES = 4_096;

    /** Maximum factor by which a declaration is corrected, up or down. */
    private static final double MAX_FACTOR = 16;

    /** Minimum run time for a report to be meaningful for processor usage. */
    private static final long MIN_RUN_MILLIS = 1_000;

    /**
     * Quantile for memory. It is above the median because too little memory kills the job, while
     * too few cores only slow it down.
     */
    private static final double MEMORY_QUANTILE = 0.75;

    private static final double MEDIAN_QUANTILE = 0.5;

    private final Map<String, Deque<Sample>> samplesByClass =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Deque<Sample>> eldest) {
                    return size() > MAX_CLASSES;
                }
            };

    /** Adds a sample from the platform's report of an ended attempt; other reports are ignored. */
    public void addSample(JobSpec spec, TaskReport report) {
        if (report.runMillis() < MIN_RUN_MILLIS || !report.state().ended()) {
            return;
        }
        Deque<Sample> samples =
                samplesByClass.computeIfAbsent(classKey(spec), key -> new ArrayDeque<>());
        double run =
                report.state() == TaskState.SUCCEEDED
                        ? factor(report.runMillis(), spec.expectedRunMillis())
                        : Double.NaN;
        samples.add(
                new Sample(
                        factor(cores(report), spec.cores()),
                        factor(report.peakMemoryMib(), spec.memoryMib()),
                        run));
        if (samples.size() > MAX_SAMPLES) {
            samples.remove();
        }
    }

    /** Estimated usage of a job; slots and accelerators are as declared. */
    public Resources need(JobSpec spec) {
        return new Resources(
                spec.cores() * quantile(spec, Sample::cores, MEDIAN_QUANTILE),
                spec.memoryMib() * quantile(spec, Sample::memory, MEMORY_QUANTILE),
                spec.accelerators(),
                spec.slots());
    }

    /**
     * Usage of a running job: as reported once the job has run long enough, else as expected.
     *
     * @param expected estimate from before the job ran
     */
    public Resources use(JobSpec spec, TaskReport report, Resources expected) {
        if (report.runMillis() < MIN_RUN_MILLIS) {
            return expected;
        }
        return new Resources(
                Math.min(cores(report), Math.max(1, spec.cores()) * MAX_FACTOR),
                Math.min(report.peakMemoryMib(), Math.max(1, spec.memoryMib()) * MAX_FACTOR),
                spec.accelerators(),
                spec.slots());
    }

    /** Estimated total run time of a job, in milliseconds. */
    public long runMillis(JobSpec spec) {
        return (long) (spec.expectedRunMillis() * quantile(spec, Sample::run, MEDIAN_QUANTILE));
    }

    private double quantile(JobSpec spec, ToDoubleFunction<Sample> part, double quantile) {
        Deque<Sample> samples = samplesByClass.get(classKey(spec));
        if (samples == null) {
            return 1;
        }
        double[] values =
                samples.stream().mapToDouble(part).filter(value -> !Double.isNaN(value)).toArray();
        if (values.length < MIN_SAMPLES) {
            return 1;
        }
        Arrays.sort(values);
        return values[(int) (quantile * (values.length - 1))];
    }

    private static double cores(TaskReport report) {
        return (double) report.cpuMillis() / Math.max(1, report.runMillis());
    }

    private static double factor(double actual, double declared) {
        double ratio = Math.max(0, actual) / Math.max(1, declared);
        return Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, ratio));
    }

    private static String classKey(JobSpec spec) {
        String command = spec.command().strip();
        int space = command.indexOf(' ');
        return spec.team() + " " + (space < 0 ? command : command.substring(0, space));
    }

    /** Ratios of used to declared amounts of one attempt; run is NaN unless it succeeded. */
    private record Sample(double cores, double memory, double run) {}
}
