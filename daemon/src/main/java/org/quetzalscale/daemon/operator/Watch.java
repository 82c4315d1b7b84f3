package org.quetzalscale.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.net.http.LineSink;
import org.quetzalscale.net.json.Json;

/**
 * One watch: sends each change of a kind once, in order. While the connection is not writable, the
 * watch only keeps its position; if that lasts, it closes the connection. The client resumes from
 * its last revision with a new watch.
 */
final class Watch {
    private static final int MAX_STALLED_BOOKMARKS = 3;

    private final ConfigService config;
    private final ResourceReader reader;
    private final Kind kind;
    private final LineSink sink;
    private List<Change> older;
    private Revision sent;
    private int stalledBookmarks;
    private boolean closed;

    /**
     * Creates a watch that has not sent a change.
     *
     * @param older changes after {@code after} that the service may no longer keep
     */
    Watch(
            ConfigService config,
            ResourceReader reader,
            Kind kind,
            Revision after,
            List<Change> older,
            LineSink sink) {
        this.config = config;
        this.reader = reader;
        this.kind = kind;
        this.sent = after;
        this.older = older;
        this.sink = sink;
    }

    /** Sends the changes since the last one sent, while the connection is writable. */
    synchronized void advance() {
        if (closed || !send(older)) {
            return;
        }
        older = List.of();
        Optional<List<Change>> changes = config.changesAfter(sent);
        if (changes.isEmpty()) {
            // A snapshot replaced the copy, so the changes in between are not available one by one.
            close();
            return;
        }
        send(changes.get());
    }

    /** Sends the new changes, and then the revision that the client now has. */
    synchronized void bookmark() {
        advance();
        ObjectNode line =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("type", "bookmark")
                        .put("revision", sent.value());
        if (emit(line)) {
            stalledBookmarks = 0;
            return;
        }
        stalledBookmarks++;
        if (stalledBookmarks >= MAX_STALLED_BOOKMARKS) {
            close();
        }
    }

    /** Ends the stream. */
    synchronized void close() {
        if (!closed) {
            closed = true;
            sink.close();
        }
    }

    private boolean send(List<Change> changes) {
        for (Change change : changes) {
            if (!change.revision().isNewerThan(sent)) {
                continue;
            }
            if (change.kind() == kind && !emit(event(change))) {
                return false;
            }
            sent = change.revision();
        }
        return true;
    }

    private boolean emit(ObjectNode line) {
        if (closed || !sink.isWritable()) {
            return false;
        }
        sink.send(Json.write(line));
        return true;
    }

    private ObjectNode event(Change change) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("type", change.spec().isPresent() ? "put" : "delete")
                .put("revision", change.revision().value())
                .put("kind", change.kind().path())
                .put("name", change.name());
        change.spec()
                .ifPresent(
                        spec ->
                                node.set(
                                        "resource",
                                        reader.show(
                                                config.snapshot(),
                                                change.kind(),
                                                change.name(),
                                                new Versioned(change.revision(), spec))));
        return node;
    }
}
