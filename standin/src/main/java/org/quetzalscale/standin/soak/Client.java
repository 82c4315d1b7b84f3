package org.quetzalscale.standin.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.json.Json;

/**
 * Submits, cancels and asks for jobs on persistent connections. After no answer, or an answer that
 * leaves the outcome open, the request is sent again with the same id to another node.
 */
final class Client {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int RETRY_MILLIS = 250;
    private static final int MAX_TRIES = 8;
    private static final int LASTING_JOBS = 6;
    private static final int POLL_MILLIS = 120;
    private static final double CANCELLED_SHARE = 0.12;
    private static final int LEAST_CANCEL_MILLIS = 200;
    private static final int CANCEL_RANGE_MILLIS = 4_000;
    private static final int REPEATED_ONE_IN = 30;
    private static final int REPEAT_MILLIS = 2_500;
    private static final int LASTING_CHANGE_MILLIS = 8_000;

    private final Nodes nodes;
    private final Map<String, JsonHttpClient> connections = new HashMap<>();
    private final Scheduler scheduler;
    private final Timeline timeline;
    private final JobMix mix;
    private final Random random;
    private final List<Job> jobs = new CopyOnWriteArrayList<>();
    private final List<Job> lasting = new ArrayList<>();
    private volatile boolean submitting;
    private volatile boolean polling;

    Client(
            Nodes nodes,
            EventLoopGroup group,
            Scheduler scheduler,
            Timeline timeline,
            JobMix mix,
            long seed) {
        this.nodes = nodes;
        this.scheduler = scheduler;
        this.timeline = timeline;
        this.mix = mix;
        this.random = new Random(seed + 1);
        for (NodeProcess node : nodes.all()) {
            connections.put(
                    node.name(), new JsonHttpClient(node.callersAddress(), group, TIMEOUT_MILLIS));
        }
    }

    /** Begins to submit a job at each interval. */
    void start(int intervalMillis) {
        submitting = true;
        polling = true;
        for (int i = 0; i < LASTING_JOBS; i++) {
            submitLasting();
        }
        scheduler.every(intervalMillis, this::submitNext);
        scheduler.every(LASTING_CHANGE_MILLIS, this::changeLasting);
        scheduler.every(POLL_MILLIS, this::pollOne);
    }

    /** Submits nothing more; the jobs are still asked for. */
    void endTraffic() {
        submitting = false;
    }

    void stop() {
        polling = false;
        connections.values().forEach(JsonHttpClient::stop);
    }

    List<Job> jobs() {
        return List.copyOf(jobs);
    }

    /** Asks for the state of each job whose completion is owed and not known yet. */
    void pollOpen() {
        jobs.stream().filter(Job::isOpen).forEach(job -> poll(job, anyNode()));
    }

    private void submitNext() {
        if (!submitting) {
            return;
        }
        Job job = mix.drawFinite();
        jobs.add(job);
        submit(job, anyNode(), 1);
    }

    /** Some jobs are cancelled; of some, the submission arrives once more after its answer. */
    private void afterAcceptance(Job job) {
        if (random.nextDouble() < CANCELLED_SHARE) {
            int delay = LEAST_CANCEL_MILLIS + random.nextInt(CANCEL_RANGE_MILLIS);
            scheduler.after(delay, () -> cancel(job, anyNode()));
        } else if (random.nextInt(REPEATED_ONE_IN) == 0) {
            scheduler.after(REPEAT_MILLIS, () -> send(job, anyNode(), HttpMethod.POST, job.body()));
        }
    }

    private void submitLasting() {
        Job job = mix.drawLasting();
        jobs.add(job);
        lasting.add(job);
        submit(job, anyNode(), 1);
    }

    private void changeLasting() {
        if (submitting) {
            cancel(lasting.remove(0), anyNode());
            submitLasting();
        }
    }

    private NodeProcess anyNode() {
        return nodes.all().get(random.nextInt(nodes.all().size()));
    }

    private NodeProcess otherThan(NodeProcess node) {
        int next = nodes.all().indexOf(node) + 1 + random.nextInt(nodes.all().size() - 1);
        return nodes.all().get(next % nodes.all().size());
    }

    private void submit(Job job, NodeProcess node, int attempt) {
        send(job, node, HttpMethod.POST, job.body())
                .whenComplete((reply, failure) -> onSubmitted(job, node, attempt, reply));
    }

    private void onSubmitted(Job job, NodeProcess node, int attempt, HttpReply reply) {
        if (reply != null && reply.status() / 100 == 2) {
            job.onAccepted(timeline.seconds());
            if (!job.isLasting()) {
                afterAcceptance(job);
            }
            return;
        }
        if (attempt == 1) {
            timeline.add(
                    "client: %s got %s from %s",
                    job.id(), reply == null ? "no answer" : reply.status(), node.name());
        }
        if (attempt < MAX_TRIES) {
            NodeProcess next = otherThan(node);
            scheduler.after(RETRY_MILLIS, () -> submit(job, next, attempt + 1));
        } else {
            cancel(job, otherThan(node));
        }
    }

    private void cancel(Job job, NodeProcess node) {
        job.onCancelSent(timeline.seconds());
        send(job, node, HttpMethod.DELETE, "")
                .whenComplete(
                        (reply, failure) -> {
                            if (reply != null
                                    && (reply.status() / 100 == 2 || reply.status() == 410)) {
                                job.onCancelled(timeline.seconds());
                                timeline.add(
                                        "client: cancelled %s at %s, %d",
                                        job.id(), node.name(), reply.status());
                            } else if (polling) {
                                NodeProcess next = otherThan(node);
                                scheduler.after(RETRY_MILLIS, () -> cancel(job, next));
                            }
                        });
    }

    private void pollOne() {
        if (!polling || jobs.isEmpty()) {
            return;
        }
        Job job = jobs.get(random.nextInt(jobs.size()));
        if (job.toRecord().isAccepted()) {
            poll(job, anyNode());
        }
    }

    private void poll(Job job, NodeProcess node) {
        send(job, node, HttpMethod.GET, "")
                .whenComplete(
                        (reply, failure) -> {
                            if (reply != null && reply.status() == 200) {
                                String state = Json.readTree(reply.body()).path("state").asText();
                                job.onState(state, node.name(), timeline.seconds());
                            } else if (reply != null && reply.status() == 410) {
                                job.onState("unknown", node.name(), timeline.seconds());
                            }
                        });
    }

    private CompletionStage<HttpReply> send(
            Job job, NodeProcess node, HttpMethod method, String body) {
        Map<String, String> headers =
                Map.of(
                        "Content-Type",
                        "application/json",
                        "X-Credential",
                        job.tenant().key(),
                        "X-Deadline-Ms",
                        Integer.toString(TIMEOUT_MILLIS));
        return connections
                .get(node.name())
                .send(
                        new HttpCall(
                                method,
                                job.path(),
                                Map.of(),
                                headers,
                                body.getBytes(StandardCharsets.UTF_8)));
    }
}
