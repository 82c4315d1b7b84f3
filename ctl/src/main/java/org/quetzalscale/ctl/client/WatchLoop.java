package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.net.http.HttpCallException;
import org.quetzalscale.net.http.LineStream;
import org.quetzalscale.net.json.Json;

/**
 * Watches a kind. After a disconnect it continues from its last revision, at the next server; if
 * that revision is too old, it lists again and tells the differences.
 */
public final class WatchLoop {
    // Servers send a bookmark every 2 s, so a connection that is silent for longer is dead.
    private static final int IDLE_MILLIS = 6_000;
    private static final long MIN_PAUSE_MILLIS = 200;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    /** Refusals that another instance, or the same one later, may not repeat. */
    private static final Set<String> PASSING =
            Set.of(
                    ErrorKind.CONFIG_STALE.code(),
                    ErrorKind.SHUTTING_DOWN.code(),
                    ErrorKind.STORE_UNAVAILABLE.code(),
                    // An instance that lags behind does not know the revision yet.
                    ErrorKind.INVALID_FIELD.code());

    private final OperatorClient client;
    private final Timing timing;
    private final Kind kind;
    private final long timeoutMillis;
    private final WatchListener listener;
    private final Map<String, Long> versions = new TreeMap<>();
    private long revision;
    private long lastLineMillis;
    private long pauseMillis = MIN_PAUSE_MILLIS;

    /**
     * Creates a watch.
     *
     * @param timeoutMillis the watch ends when no server was heard for this long
     */
    public WatchLoop(
            OperatorClient client,
            Timing timing,
            Kind kind,
            long timeoutMillis,
            WatchListener listener) {
        this.client = client;
        this.timing = timing;
        this.kind = kind;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /**
     * Lists, then watches until the listener ends it.
     *
     * @throws CtlException REFUSED, or UNREACHABLE if no server was heard for the time limit
     */
    public void run() {
        if (!list()) {
            return;
        }
        lastLineMillis = timing.time().nowMillis();
        while (true) {
            Optional<Throwable> end = follow();
            if (end.isEmpty()) {
                return;
            }
            if (isTooOld(end.get())) {
                listener.note(
                        "revision " + revision + " is too old to continue from; listing again");
                if (!list()) {
                    return;
                }
                continue;
            }
            prepareReconnect(end.get());
        }
    }

    private boolean list() {
        ResourceList list = new ResourceClient(client, timing).list(kind);
        Map<String, Resource> present = list.byName();
        revision = list.revision();
        for (String name : List.copyOf(versions.keySet())) {
            if (!present.containsKey(name)) {
                versions.remove(name);
                if (!listener.changed(line("delete", revision, name))) {
                    return false;
                }
            }
        }
        for (Resource resource : present.values()) {
            Long known = versions.put(resource.name(), resource.version());
            if (known != null && known == resource.version()) {
                continue;
            }
            ObjectNode line = line("present", resource.version(), resource.name());
            line.set("resource", resource.document());
            if (!listener.changed(line)) {
                return false;
            }
        }
        return true;
    }

    private ObjectNode line(String type, long lineRevision, String name) {
        return Json.mapper()
                .createObjectNode()
                .put("type", type)
                .put("revision", lineRevision)
                .put("kind", kind.path())
                .put("name", name);
    }

    /** Passes lines on until the stream ends; gives the reason, or nothing if the listener did. */
    private Optional<Throwable> follow() {
        BlockingQueue<Object> lines = new LinkedBlockingQueue<>();
        Map<String, List<String>> query =
                Map.of("watch", List.of("true"), "from", List.of(Long.toString(revision)));
        LineStream stream = client.stream("/v1/" + kind.path(), query, IDLE_MILLIS, lines::add);
        stream.ended()
                .whenComplete(
                        (none, failure) ->
                                lines.add(
                                        failure == null
                                                ? HttpCallException.maybeSent("the server ended it")
                                                : failure));
        try {
            while (true) {
                Object next = lines.take();
                if (next instanceof Throwable end) {
                    return Optional.of(end);
                }
                if (!accept(Json.read((String) next, JsonNode.class))) {
                    return Optional.empty();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } finally {
            stream.close();
        }
    }

    private boolean accept(JsonNode line) {
        lastLineMillis = timing.time().nowMillis();
        pauseMillis = MIN_PAUSE_MILLIS;
        long lineRevision = line.path("revision").asLong();
        boolean seen = lineRevision <= revision;
        revision = Math.max(revision, lineRevision);
        String type = line.path("type").asText();
        if (type.equals("bookmark") || seen) {
            return true;
        }
        String name = line.path("name").asText();
        if (type.equals("delete")) {
            versions.remove(name);
        } else {
            versions.put(name, lineRevision);
        }
        return listener.changed(line);
    }

    private static boolean isTooOld(Throwable end) {
        return refusal(end)
                .flatMap(CtlException::errorCode)
                .filter(ErrorKind.REVISION_TOO_OLD.code()::equals)
                .isPresent();
    }

    private void prepareReconnect(Throwable end) {
        Optional<CtlException> refusal = refusal(end);
        if (refusal.isPresent() && refusal.get().errorCode().filter(PASSING::contains).isEmpty()) {
            throw refusal.get();
        }
        if (timing.time().nowMillis() - lastLineMillis >= timeoutMillis) {
            throw new CtlException(
                    ExitCode.UNREACHABLE,
                    "no server was heard for "
                            + timeoutMillis
                            + " ms: "
                            + unwrap(end).getMessage());
        }
        listener.note(
                "connection lost ("
                        + unwrap(end).getMessage()
                        + "); continuing from revision "
                        + revision);
        client.useNextServer();
        timing.pause().accept(pauseMillis);
        pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
    }

    private static Optional<CtlException> refusal(Throwable end) {
        return unwrap(end) instanceof HttpCallException failure
                ? failure.answer().map(OperatorClient::refusal)
                : Optional.empty();
    }

    private static Throwable unwrap(Throwable end) {
        return end instanceof CompletionException && end.getCause() != null ? end.getCause() : end;
    }
}
