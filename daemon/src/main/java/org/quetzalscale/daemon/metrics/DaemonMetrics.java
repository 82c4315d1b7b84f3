package org.quetzalscale.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.daemon.caller.RequestObserver;
import org.quetzalscale.daemon.caller.RequestRecord;

/** The metrics of one process, in their own registry. Thread-safe. */
public final class DaemonMetrics implements RequestObserver {
    private static final String NONE = "none";
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Histogram duration = histogram(MetricInfo.REQUEST_DURATION);
    private final Histogram wait = histogram(MetricInfo.REQUEST_WAIT);
    private final Counter refusals = counter(MetricInfo.REFUSALS);
    private final Counter cutAnswers = counter(MetricInfo.CUT_ANSWERS);
    private final Counter retries = counter(MetricInfo.RETRIES);

    /** Registers all metrics. */
    public DaemonMetrics(MetricSources sources) {
        gauge(MetricInfo.IN_FLIGHT, () -> sources.inFlight().getAsInt());
        gauge(MetricInfo.CONFIG_REVISION, () -> sources.revision().getAsLong());
        gauge(MetricInfo.CONFIG_VALID, () -> sources.valid().getAsBoolean() ? 1 : 0);
        teamGauge(MetricInfo.TEAM_UNITS_USED, sources.unitsUsed());
        teamGauge(MetricInfo.TEAM_UNITS_HELD, sources.unitsHeld());
    }

    @Override
    public void ended(RequestRecord request) {
        // Callers can make up any number of queue names, so unknown queues get no label of their
        // own.
        boolean unknownQueue = request.error().filter(ErrorKind.QUEUE_UNKNOWN::equals).isPresent();
        String queue = unknownQueue ? NONE : request.queue().map(QueueId::value).orElse(NONE);
        String team = request.team().map(TeamId::value).orElse(NONE);
        duration.labelValues(team, queue).observe(request.totalMillis() / MILLIS_PER_SECOND);
        wait.labelValues(team, queue).observe(request.waitMillis() / MILLIS_PER_SECOND);
        request.error().ifPresent(kind -> refusals.labelValues(kind.code()).inc());
        if (request.cut()) {
            cutAnswers.labelValues(queue).inc();
        }
    }

    /** Counts a retry of a request. */
    public void retried(QueueId queue) {
        retries.labelValues(queue.value()).inc();
    }

    /** Renders all metrics in the Prometheus text format. */
    public String text() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write metrics to a buffer in memory", e);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Histogram histogram(MetricInfo info) {
        return Histogram.builder()
                .name(info.title())
                .help(info.help())
                .labelNames(info.labelArray())
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    private Counter counter(MetricInfo info) {
        return Counter.builder()
                .name(info.title())
                .help(info.help())
                .labelNames(info.labelArray())
                .register(registry);
    }

    private void gauge(MetricInfo info, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(info.title())
                .help(info.help())
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    private void teamGauge(MetricInfo info, Supplier<Map<TeamId, Integer>> values) {
        GaugeWithCallback.builder()
                .name(info.title())
                .help(info.help())
                .labelNames(info.labelArray())
                .callback(
                        callback ->
                                values.get()
                                        .forEach(
                                                (team, units) ->
                                                        callback.call(units, team.value())))
                .register(registry);
    }
}
