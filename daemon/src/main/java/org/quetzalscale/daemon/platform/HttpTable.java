package org.quetzalscale.daemon.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.TableMessages;

/** The platform's table over HTTP. */
final class HttpTable implements TransactionalTable {
    private final PlatformClient client;

    HttpTable(PlatformClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return client.read("/v1/table/row", Map.of("key", key.value()), HttpTable::decodeRow);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return client.read(
                "/v1/table/rows",
                Map.of("prefix", prefix),
                reply ->
                        Json.read(reply.body(), TableMessages.Rows.class).rows().stream()
                                .map(TableMessages.RowMessage::toRow)
                                .toList());
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return client.write(
                HttpMethod.POST,
                "/v1/table/commits",
                TableMessages.Commit.of(transaction),
                reply -> Json.read(reply.body(), TableMessages.CommitAnswer.class).toResult());
    }

    private static Optional<Row> decodeRow(HttpReply reply) {
        if (PlatformClient.isAbsent(reply)) {
            return Optional.empty();
        }
        return Optional.of(Json.read(reply.body(), TableMessages.RowMessage.class).toRow());
    }
}
