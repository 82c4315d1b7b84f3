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
 * Corrects declared sizes and run times by the usage of earlier jobs of the same team and command.
 * Quantiles of recent samples are used, so that single false reports change nothing. Not safe for
 * use by several threads.
 */
public final class UsageEstimator {
    /** Samples of a class before they replace its declarations. */
    private static final int MIN_SAMPLES = 3;

    private static final int MAX_SAMPLES = 16;
    private static final int MAX_CLASSES = 4_096;

    /** Largest factor by which a declaration is corrected, in either direction. */
    private static final double MAX_FACTOR = 16;

    /** Run time from which a report says something about the processors used. */
    private static final long MIN_RUN_MILLIS = 1_000;

    /** Too little memory ends the job, too few cores only slow it. */
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

    /** Learns from the platform's report of an ended attempt. */
    public void record(JobSpec spec, TaskReport report) {
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

    /** What a job is expected to use. Slots and accelerators are as declared. */
    public Resources need(JobSpec spec) {
        return new Resources(
                spec.cores() * quantile(spec, Sample::cores, MEDIAN_QUANTILE),
                spec.memoryMib() * quantile(spec, Sample::memory, MEMORY_QUANTILE),
                spec.accelerators(),
                spec.slots());
    }

    /**
     * What a running job uses: as reported, once the report says something.
     *
     * @param expected what it was expected to use
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

    /** Run time that a job is expected to need in total, in milliseconds. */
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

    /** Factors between what was used and what was declared. */
    private record Sample(double cores, double memory, double run) {}
}
