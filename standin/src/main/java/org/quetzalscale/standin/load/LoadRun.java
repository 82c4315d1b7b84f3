package org.quetzalscale.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.json.Json;

/** Sends the arrivals of a schedule when they are due, whatever became of earlier ones. */
public final class LoadRun {
    private static final int THREADS = 2;
    // An answer that comes after the deadline is late, not lost.
    private static final int ANSWER_GRACE_MILLIS = 2000;
    private static final int END_GRACE_MILLIS = 5000;
    private static final String REQUEST_ID_HEADER = "x-request-id";
    private static final String RUN_HEADER = "quetzalscale-run";
    private static final byte[] NO_BODY = {};
    private static final byte[] POST_BODY = "{\"order\":1}".getBytes();

    private final LoadOptions options;
    private final LoadRecorder total = new LoadRecorder();
    private final List<LoadRecorder> queues;
    private final List<LoadRecorder> teams;
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Creates a run that has sent nothing yet. */
    public LoadRun(LoadOptions options) {
        this.options = options;
        this.queues = recorders(options.queues().size());
        this.teams = recorders(options.teams().size());
    }

    /** Sends everything, waits for the answers, and ends after a bounded time. */
    public LoadReport run() {
        List<Arrival> arrivals = new ArrivalSchedule(options).draw();
        EventLoopGroup group = EventLoops.create(THREADS, "load");
        List<JsonHttpClient> clients =
                options.addresses().stream()
                        .map(
                                address ->
                                        new JsonHttpClient(
                                                address,
                                                group,
                                                options.deadlineMillis() + ANSWER_GRACE_MILLIS))
                        .toList();
        CountDownLatch ended = new CountDownLatch(arrivals.size());
        long startNanos = System.nanoTime();
        long latestNanos = 0;
        try {
            for (int i = 0; i < arrivals.size(); i++) {
                Arrival arrival = arrivals.get(i);
                long dueNanos = startNanos + arrival.atMicros() * 1000;
                waitUntil(dueNanos);
                if (isRecorded(arrival)) {
                    latestNanos = Math.max(latestNanos, System.nanoTime() - dueNanos);
                }
                send(clients.get(i % clients.size()), i, arrival, dueNanos, ended);
            }
            waitFor(ended);
        } finally {
            clients.forEach(JsonHttpClient::stop);
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
        return report(latestNanos / 1e6);
    }

    private void send(
            JsonHttpClient client,
            int number,
            Arrival arrival,
            long dueNanos,
            CountDownLatch ended) {
        if (inFlight.incrementAndGet() > options.maxInFlight()) {
            inFlight.decrementAndGet();
            record(arrival, LoadOutcome.NOT_SENT, "", dueNanos);
            ended.countDown();
            return;
        }
        String requestId = "load-" + options.seed() + "-" + number;
        client.send(callFor(arrival, requestId))
                .whenComplete(
                        (reply, failure) -> {
                            LoadOutcome outcome =
                                    failure == null
                                            ? outcomeOf(reply, requestId)
                                            : LoadOutcome.NO_ANSWER;
                            String code = failure == null ? codeOf(reply) : "";
                            record(arrival, outcome, code, dueNanos);
                            inFlight.decrementAndGet();
                            ended.countDown();
                        });
    }

    private HttpCall callFor(Arrival arrival, String requestId) {
        String uri =
                options.path()
                        .replace("{queue}", options.queues().get(arrival.queue()))
                        .replace("{ms}", Long.toString(arrival.serviceMillis()))
                        .replace("{size}", Integer.toString(options.sizeBytes()));
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        Map<String, String> headers = new HashMap<>();
        headers.put(REQUEST_ID_HEADER, requestId);
        headers.put("quetzalscale-timeout-ms", Integer.toString(options.deadlineMillis()));
        LoadOptions.Team team = options.teams().get(arrival.team());
        headers.put("x-team", team.name());
        if (!team.key().isEmpty()) {
            headers.put("authorization", "Bearer " + team.key());
        }
        if (arrival.keyed()) {
            headers.put("idempotency-key", requestId);
        }
        return new HttpCall(
                arrival.post() ? HttpMethod.POST : HttpMethod.GET,
                decoder.path(),
                decoder.parameters(),
                headers,
                arrival.post() ? POST_BODY : NO_BODY);
    }

    private LoadOutcome outcomeOf(HttpReply reply, String requestId) {
        if (reply.status() < 300) {
            return isOwn(reply.body(), requestId) ? LoadOutcome.OK : LoadOutcome.WRONG;
        }
        // A target that is reached directly refuses without the header.
        String run =
                reply.status() == 503 && reply.headers().containsKey("retry-after")
                        ? "not-run"
                        : "";
        return switch (reply.headers().getOrDefault(RUN_HEADER, run)) {
            case "not-run" -> LoadOutcome.NOT_RUN;
            case "unknown" -> LoadOutcome.UNKNOWN;
            default -> LoadOutcome.ERROR;
        };
    }

    /** Whether the body is what the target stand-in generates for this request. */
    private boolean isOwn(byte[] body, String requestId) {
        byte[] line = (requestId + "\n").getBytes();
        if (body.length != options.sizeBytes()) {
            return false;
        }
        return IntStream.range(0, body.length).allMatch(i -> body[i] == line[i % line.length]);
    }

    private static String codeOf(HttpReply reply) {
        if (reply.status() < 300) {
            return "";
        }
        try {
            JsonNode body = Json.readTree(reply.body());
            return body.path("error").path("code").asText("status_" + reply.status());
        } catch (QuetzalscaleException e) {
            return "status_" + reply.status();
        }
    }

    private void record(Arrival arrival, LoadOutcome outcome, String code, long dueNanos) {
        if (!isRecorded(arrival)) {
            return;
        }
        long micros = (System.nanoTime() - dueNanos) / 1000;
        for (LoadRecorder recorder :
                List.of(total, queues.get(arrival.queue()), teams.get(arrival.team()))) {
            recorder.record(outcome, code, micros, options.deadlineMillis());
        }
    }

    private boolean isRecorded(Arrival arrival) {
        return arrival.atMicros() >= options.warmupMillis() * 1000;
    }

    private LoadReport report(double latestSendMillis) {
        long durationMillis = options.durationMillis() - options.warmupMillis();
        return new LoadReport(
                options.seed(),
                durationMillis,
                latestSendMillis,
                total.report("all", durationMillis),
                IntStream.range(0, queues.size())
                        .mapToObj(
                                i ->
                                        queues.get(i)
                                                .report(
                                                        "queue " + options.queues().get(i),
                                                        durationMillis))
                        .toList(),
                IntStream.range(0, teams.size())
                        .mapToObj(
                                i ->
                                        teams.get(i)
                                                .report(
                                                        "team " + options.teams().get(i).name(),
                                                        durationMillis))
                        .toList());
    }

    private static void waitUntil(long dueNanos) {
        for (long left = dueNanos - System.nanoTime();
                left > 0;
                left = dueNanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private void waitFor(CountDownLatch ended) {
        long limitMillis = (long) options.deadlineMillis() + ANSWER_GRACE_MILLIS + END_GRACE_MILLIS;
        try {
            if (!ended.await(limitMillis, TimeUnit.MILLISECONDS)) {
                System.err.println(ended.getCount() + " requests did not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<LoadRecorder> recorders(int count) {
        return IntStream.range(0, count).mapToObj(i -> new LoadRecorder()).toList();
    }
}
