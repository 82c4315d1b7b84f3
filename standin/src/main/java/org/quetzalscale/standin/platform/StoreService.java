package org.quetzalscale.standin.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.TableMessages;

/** Answers calls to the table and to the object store. */
final class StoreService {
    private static final HttpReply NO_CONTENT = HttpReply.text(204, "text/plain", new byte[0]);

    private final InMemoryTable table = new InMemoryTable();
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final LongAdder tableReads = new LongAdder();
    private final LongAdder tableCommits = new LongAdder();

    /** The paths /v1/table/row, /v1/table/rows, /v1/table/commits and /v1/table/version. */
    CompletionStage<HttpReply> table(HttpCall call) {
        return switch (call.path()) {
            case "/v1/table/row" -> readRow(call);
            case "/v1/table/rows" -> {
                tableReads.increment();
                yield table.scan(requireParameter(call, "prefix"))
                        .thenApply(
                                rows ->
                                        HttpReply.json(
                                                200,
                                                new TableMessages.Rows(
                                                        rows.stream()
                                                                .map(TableMessages.RowMessage::of)
                                                                .toList())));
            }
            case "/v1/table/commits" -> commit(call);
            case "/v1/table/version" ->
                    CompletableFuture.completedFuture(
                            HttpReply.json(200, new TableMessages.TableVersion(table.version())));
            default -> throw unknownPath(call);
        };
    }

    /** The path /v1/objects, with one object named by a parameter. */
    CompletionStage<HttpReply> objects(HttpCall call) {
        if (call.method().equals(HttpMethod.PUT)) {
            return objects.put(requireParameter(call, "name"), call.body())
                    .thenApply(ignored -> NO_CONTENT);
        }
        if (call.parameter("name").isPresent()) {
            String name = requireParameter(call, "name");
            return objects.get(name)
                    .thenApply(
                            content ->
                                    HttpReply.text(
                                            200,
                                            "application/octet-stream",
                                            content.orElseThrow(() -> unknownObject(name))));
        }
        return objects.list(call.parameter("prefix").orElse(""))
                .thenApply(names -> HttpReply.json(200, new TableMessages.ObjectNames(names)));
    }

    /** Reads and scans of the table since the start. */
    long tableReads() {
        return tableReads.sum();
    }

    /** Transactions since the start, conflicts included. */
    long tableCommits() {
        return tableCommits.sum();
    }

    /** Version of the latest commit. */
    long tableVersion() {
        return table.version();
    }

    private CompletionStage<HttpReply> readRow(HttpCall call) {
        tableReads.increment();
        RowKey key = new RowKey(requireParameter(call, "key"));
        return table.read(key)
                .thenApply(
                        row ->
                                row.map(TableMessages.RowMessage::of)
                                        .map(message -> HttpReply.json(200, message))
                                        .orElseThrow(
                                                () ->
                                                        new QuetzalscaleException(
                                                                ErrorKind.RESOURCE_UNKNOWN,
                                                                "row " + key + " does not exist")));
    }

    private CompletionStage<HttpReply> commit(HttpCall call) {
        if (!call.method().equals(HttpMethod.POST)) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED, "transactions are sent by POST");
        }
        tableCommits.increment();
        TableMessages.Commit commit = Json.read(call.body(), TableMessages.Commit.class);
        return table.commit(commit.toTransaction())
                .thenApply(result -> HttpReply.json(200, TableMessages.CommitAnswer.of(result)));
    }

    private static String requireParameter(HttpCall call, String name) {
        return call.parameter(name)
                .orElseThrow(
                        () ->
                                new QuetzalscaleException(
                                        ErrorKind.MALFORMED_REQUEST,
                                        "parameter \"" + name + "\" is missing"));
    }

    private static QuetzalscaleException unknownObject(String name) {
        return new QuetzalscaleException(
                ErrorKind.RESOURCE_UNKNOWN, "object \"" + name + "\" does not exist");
    }

    private static QuetzalscaleException unknownPath(HttpCall call) {
        return new QuetzalscaleException(
                ErrorKind.RESOURCE_UNKNOWN, "path " + call.path() + " does not exist");
    }
}
