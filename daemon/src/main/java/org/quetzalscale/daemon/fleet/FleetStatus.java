package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetOverview;

/**
 * JSON status of an instance and, at the owner, of the fleet, for operators. Runs on the event
 * loop.
 */
public final class FleetStatus {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final InstanceId self;
    private final LoopClock clock;
    private final PolicyWatcher policies;
    private final OwnerService owner;

    /** Creates a status that reads the services at each request. */
    public FleetStatus(
            InstanceId self, LoopClock clock, PolicyWatcher policies, OwnerService owner) {
        this.self = self;
        this.clock = clock;
        this.policies = policies;
        this.owner = owner;
    }

    /** Status of this instance; at the owner also of pools, queues, waves and moves. */
    public ObjectNode instance() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("instance", self.value());
        node.put("owner", owner.isOwner());
        node.put("configuration", policies.current().map(policy -> policy.version()).orElse(0L));
        node.put("configurationAgeMs", clock.nowMillis() - policies.confirmedMillis());
        ArrayNode evacuated = node.putArray("evacuatedZones");
        policies.evacuatedZones().stream().sorted().forEach(zone -> evacuated.add(zone.value()));
        owner.term().ifPresent(term -> addFleet(node, term));
        return node;
    }

    /**
     * Status of a job with the reason why each of its steps waits; empty if this instance is not
     * the owner or does not know the job.
     */
    public Optional<ObjectNode> job(JobId id) {
        return owner.term()
                .flatMap(term -> term.overview().job(id, clock.nowMillis()))
                .map(job -> jobNode(id, job));
    }

    private static ObjectNode jobNode(JobId id, FleetOverview.JobView job) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("job", id.value());
        node.put("queue", job.queue().value());
        node.put("pool", job.pool().value());
        node.put("state", lowerCaseName(job.phase()));
        ArrayNode steps = node.putArray("steps");
        for (FleetOverview.StepView step : job.steps()) {
            steps.addObject()
                    .put("occurrence", step.occurrence())
                    .put("step", step.step())
                    .put("waiting", step.waiting())
                    .put("running", step.running())
                    .put("stopping", step.stopping())
                    .put("done", step.done())
                    .put("reason", lowerCaseName(step.reason()));
        }
        return node;
    }

    private void addFleet(ObjectNode node, OwnerTerm term) {
        node.put("fence", term.fence());
        node.put("ownerForS", term.ageMillis() / MILLIS_PER_SECOND);
        ArrayNode pools = node.putArray("pools");
        term.overview()
                .pools()
                .forEach(
                        (id, pool) ->
                                pools.addObject()
                                        .put("pool", id.value())
                                        .put("workers", pool.workers())
                                        .put("silent", pool.unresponsive())
                                        .put("drained", pool.drained())
                                        .put("tasks", pool.tasks())
                                        .put("coresUsed", pool.coresUsed())
                                        .put("cores", pool.cores()));
        ArrayNode queues = node.putArray("queues");
        term.overview()
                .jobs()
                .forEach(
                        (id, counts) -> {
                            ObjectNode queue = queues.addObject().put("queue", id.value());
                            counts.forEach(
                                    (phase, count) -> queue.put(lowerCaseName(phase), count));
                        });
        term.describeInstances(node);
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
