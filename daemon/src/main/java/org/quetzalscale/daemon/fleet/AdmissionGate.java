package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntSupplier;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.schedule.AdmissionPolicy;
import org.quetzalscale.core.schedule.FleetMemory;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.LoadFigures;
import org.quetzalscale.core.schedule.LocalAdmissions;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Reads the load that the owner publishes while jobs arrive, and lets {@link AdmissionPolicy}
 * decide on each job. No submission waits for the figures: without them, or with old ones, it is
 * accepted.
 *
 * <p>The age of the figures is bounded without comparing clocks of two instances: they are not
 * older than the last read that still returned other ones.
 */
public final class AdmissionGate {
    private static final long REFRESH_INTERVAL_MILLIS = 900;

    /** Longer than an owner takes to publish what it holds, and this instance to read it. */
    private static final long COUNTED_MILLIS = 3_000;

    /** The figures are kept current for this long after the last job. */
    private static final long IDLE_MILLIS = 3_000;

    /** Recent submissions that are remembered; more than an instance gets within a retry time. */
    private static final int MAX_RECENT_JOBS = 2_000;

    private final TransactionalTable table;
    private final LoopClock clock;
    private final JobGateway gateway;
    private final IntSupplier instances;
    private final FleetMetrics metrics;
    private final LocalAdmissions local = new LocalAdmissions();
    private final Map<JobId, Boolean> recentJobs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
                    return size() > MAX_RECENT_JOBS;
                }
            };

    private Optional<LoadFigures> figures = Optional.empty();
    private long figuresVersion;

    /** Memory that the owner's jobs take, as it last published, in MiB. */
    private long heldMib;

    /** Memory of the jobs that this instance has accepted lately, in bytes. */
    private final RecentSum recentBytes = new RecentSum(COUNTED_MILLIS);

    /** The figures were made after this time; empty while not known. */
    private Optional<Long> madeAfterMillis = Optional.empty();

    /** When the last read that was answered was sent. */
    private Optional<Long> previousReadMillis = Optional.empty();

    private long lastJobMillis;
    private boolean refreshing;

    /**
     * Creates a gate without figures.
     *
     * @param gateway tells whether a job is recorded
     * @param instances number of instances that accept jobs
     */
    public AdmissionGate(
            TransactionalTable table,
            LoopClock clock,
            JobGateway gateway,
            IntSupplier instances,
            FleetMetrics metrics) {
        this.table = table;
        this.clock = clock;
        this.gateway = gateway;
        this.instances = instances;
        this.metrics = metrics;
    }

    /**
     * Decides on a job. A job that may have been recorded before is accepted.
     *
     * @return the refusal; empty if the job is accepted
     */
    public CompletionStage<Optional<AdmissionPolicy.Refusal>> check(
            JobDefinition job, FleetPolicy policy, long deadlineMillis) {
        lastJobMillis = clock.nowMillis();
        if (!refreshing) {
            refreshing = true;
            refresh();
        }
        if (recentJobs.containsKey(job.id())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Optional<AdmissionPolicy.Refusal> refusal = decide(job, policy);
        if (refusal.isEmpty()) {
            recentJobs.put(job.id(), true);
            recentBytes.add(FleetMemory.bytes(job), clock.nowMillis());
            return CompletableFuture.completedFuture(refusal);
        }
        return gateway.phase(job.id(), deadlineMillis)
                .handle(
                        (phase, failure) -> {
                            if (failure != null || phase.isPresent()) {
                                return Optional.empty();
                            }
                            recordRefusal(job, refusal.get());
                            return refusal;
                        });
    }

    private Optional<AdmissionPolicy.Refusal> decide(JobDefinition job, FleetPolicy policy) {
        long localBytes = recentBytes.sum(clock.nowMillis());
        if (!FleetMemory.permits(job, heldMib, localBytes, instances.getAsInt())) {
            return Optional.of(AdmissionPolicy.Refusal.fleetFull(figuresAgeMillis()));
        }
        return AdmissionPolicy.isEnabled(policy)
                ? AdmissionPolicy.decide(job, policy, known(), clock.nowMillis())
                : Optional.empty();
    }

    private long figuresAgeMillis() {
        return madeAfterMillis.map(madeAfter -> clock.nowMillis() - madeAfter).orElse(0L);
    }

    private Optional<AdmissionPolicy.Known> known() {
        long now = clock.nowMillis();
        return figures.flatMap(
                load ->
                        madeAfterMillis.map(
                                madeAfter ->
                                        new AdmissionPolicy.Known(
                                                load,
                                                now - madeAfter,
                                                local,
                                                Math.max(1, instances.getAsInt()))));
    }

    private void refresh() {
        long now = clock.nowMillis();
        if (now - lastJobMillis > IDLE_MILLIS) {
            refreshing = false;
            return;
        }
        table.read(FleetRows.WAITING)
                .whenComplete(
                        (row, failure) -> {
                            if (failure == null) {
                                apply(row, now);
                            }
                            long elapsed = clock.nowMillis() - now;
                            clock.after(
                                    Math.max(0, REFRESH_INTERVAL_MILLIS - elapsed), this::refresh);
                        });
    }

    private void apply(Optional<Row> row, long sentMillis) {
        long version = row.map(Row::version).orElse(0L);
        if (version != figuresVersion) {
            figuresVersion = version;
            figures = row.flatMap(AdmissionGate::decode);
            heldMib = row.map(AdmissionGate::decodeJobMib).orElse(0L);
            madeAfterMillis = previousReadMillis;
            local.figuresReplaced();
        }
        previousReadMillis = Optional.of(sentMillis);
    }

    private static Optional<LoadFigures> decode(Row row) {
        return StoreFailures.decodeOrLog(
                        row.key(), () -> LoadRow.read(Json.read(row.value(), JsonNode.class)))
                .flatMap(found -> found);
    }

    private static long decodeJobMib(Row row) {
        return StoreFailures.decodeOrLog(
                        row.key(), () -> LoadRow.readJobMib(Json.read(row.value(), JsonNode.class)))
                .orElse(0L);
    }

    private void recordRefusal(JobDefinition job, AdmissionPolicy.Refusal refusal) {
        metrics.admissionRefused(refusal.reason().name().toLowerCase(Locale.ROOT));
        Logger.info(
                "event=admission_refused job={} queue={} pool={} organisation={} reason={}"
                        + " retry_after_s={} tokens={} wait_s={} limit_s={} backlog={}"
                        + " completed_per_s={} figures_ms={}",
                job.id(),
                job.queue(),
                job.pool(),
                job.organisation().map(OrganisationId::value).orElse("none"),
                refusal.reason(),
                refusal.retryAfterSeconds(),
                refusal.tokens(),
                refusal.waitSeconds(),
                refusal.limitSeconds(),
                refusal.backlogCoreSeconds(),
                refusal.completedPerSecond(),
                refusal.ageMillis());
    }
}
