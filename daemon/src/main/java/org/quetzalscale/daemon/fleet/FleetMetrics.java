package org.quetzalscale.daemon.fleet;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.schedule.FleetOverview;

/** Prometheus metrics of the fleet's services. Safe for use by several threads. */
public final class FleetMetrics {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double[] BOUNDS_SECONDS = {
        0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Histogram requests =
            histogram(
                    "quetzalscale_fleet_request_seconds",
                    "Time from a caller's request to its answer",
                    "method",
                    "status");
    private final Histogram storeCalls =
            histogram(
                    "quetzalscale_fleet_store_call_seconds",
                    "Time of calls to the platform's store",
                    "call",
                    "outcome");
    private final Counter orders =
            counter(
                    "quetzalscale_fleet_orders_total",
                    "Orders to workers and for instances, by their answer",
                    "order",
                    "answer");
    private final Counter runEnds =
            counter("quetzalscale_fleet_run_ends_total", "Runs that ended, by how", "end");
    private final Counter refusals =
            counter(
                    "quetzalscale_fleet_refusals_total",
                    "Requests of callers that were refused, by reason",
                    "kind");
    private final Counter storeTransactions =
            counter(
                    "quetzalscale_fleet_store_transactions_total",
                    "Transactions sent to the store, by the partition of their first row",
                    "part");
    private final Histogram submissions =
            Histogram.builder()
                    .name("quetzalscale_fleet_submissions_per_transaction")
                    .help("Submissions that were recorded in one transaction")
                    .classicOnly()
                    .classicUpperBounds(1, 2, 5, 10, 20, SubmissionBatcher.MAX_SUBMISSIONS)
                    .register(registry);
    private final Counter refusedRelays =
            counter(
                    "quetzalscale_fleet_refused_relays_total",
                    "Calls sent through a sibling that the store refused as well");
    private final Counter rejectedRecords =
            counter(
                    "quetzalscale_fleet_rejected_records_total",
                    "Rows of progress that the store rejected for good, by the owner");
    private final Counter reservations =
            counter(
                    "quetzalscale_fleet_reservations_total",
                    "Reservations of capacity for steps that do not fit yet, by event",
                    "event");
    private final Counter backfilledStarts =
            counter(
                    "quetzalscale_fleet_backfilled_starts_total",
                    "Starts on reserved capacity of tasks that end before it is needed");
    private final Counter admissionRefusals =
            counter(
                    "quetzalscale_fleet_admission_refusals_total",
                    "Jobs that were refused at overload, by reason",
                    "reason");
    private final Gauge jobs =
            Gauge.builder()
                    .name("quetzalscale_fleet_jobs")
                    .help("Jobs at the owner that have not ended, within the declared rate or not")
                    .labelNames("organisation", "share")
                    .register(registry);
    private final Gauge owner =
            Gauge.builder()
                    .name("quetzalscale_fleet_owner")
                    .help("1 while this instance owns the fleet")
                    .register(registry);
    private final Gauge policyVersion =
            Gauge.builder()
                    .name("quetzalscale_fleet_policy_version")
                    .help("Version of the operators' configuration in use")
                    .register(registry);

    private final Gauge evacuatedZones =
            Gauge.builder()
                    .name("quetzalscale_fleet_evacuated_zones")
                    .help("Availability zones that operators evacuate, as this instance knows")
                    .register(registry);
    private final Gauge lastingTasksInEvacuatedZones =
            Gauge.builder()
                    .name("quetzalscale_fleet_evacuated_zone_tasks")
                    .help("At the owner, lasting tasks that are still in evacuated zones")
                    .register(registry);

    /** Records an answered request and its duration in milliseconds. */
    public void request(String method, String status, long millis) {
        requests.labelValues(method, status).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a refused request of a caller. */
    public void refused(String kind) {
        refusals.labelValues(kind).inc();
    }

    /** Counts a job that was refused at overload. */
    public void admissionRefused(String reason) {
        admissionRefusals.labelValues(reason).inc();
    }

    /** Replaces the numbers of jobs within and beyond the rates of the organisations. */
    public void rates(Map<OrganisationId, FleetOverview.RateView> rates) {
        jobs.clear();
        rates.forEach(
                (id, view) -> {
                    jobs.labelValues(id.value(), "within").set(view.within());
                    jobs.labelValues(id.value(), "excess").set(view.excess());
                });
    }

    /** Records the outcome of a call to the store and its duration in milliseconds. */
    public void storeCall(String call, String outcome, long millis) {
        storeCalls.labelValues(call, outcome).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a transaction that is sent to the store. */
    public void transaction(String partition) {
        storeTransactions.labelValues(partition).inc();
    }

    /** Records the number of submissions in a transaction. */
    public void submissions(long count) {
        submissions.observe(count);
    }

    /** Counts a call through a sibling that the store refused as well. */
    public void relayRefused() {
        refusedRelays.inc();
    }

    /** Counts a row of progress that the store rejected for good. */
    public void recordRejected() {
        rejectedRecords.inc();
    }

    /** Counts an order by its answer. */
    public void order(String order, String answer) {
        orders.labelValues(order, answer).inc();
    }

    /** Counts an ended run by the way it ended. */
    public void runEnded(String end) {
        runEnds.labelValues(end).inc();
    }

    /** Counts what happened to a reservation. */
    public void reservation(String event) {
        reservations.labelValues(event).inc();
    }

    /** Counts a start on reserved capacity. */
    public void backfilledStart() {
        backfilledStarts.inc();
    }

    /** Sets whether this instance owns the fleet. */
    public void owner(boolean owns) {
        owner.set(owns ? 1 : 0);
    }

    /** Sets the version of the configuration in use. */
    public void policyVersion(long version) {
        policyVersion.set(version);
    }

    /** Sets the number of evacuated availability zones. */
    public void evacuatedZones(int zones) {
        evacuatedZones.set(zones);
    }

    /** Sets the number of lasting tasks that are still in evacuated zones. */
    public void lastingTasksInEvacuatedZones(int tasks) {
        lastingTasksInEvacuatedZones.set(tasks);
    }

    /** All metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the metrics to memory", e);
        }
        return bytes.toString(StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(BOUNDS_SECONDS)
                .register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
