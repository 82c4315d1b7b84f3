package org.quetzalscale.daemon.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.object.ObjectStore;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.TableMessages;

/** The platform's object store over HTTP. */
final class HttpObjectStore implements ObjectStore {
    private static final String PATH = "/v1/objects";

    private final PlatformClient client;

    HttpObjectStore(PlatformClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<Void> put(String name, byte[] content) {
        return client.write(HttpMethod.PUT, PATH, Map.of("name", name), content, reply -> null);
    }

    @Override
    public CompletionStage<Optional<byte[]>> get(String name) {
        return client.read(
                PATH,
                Map.of("name", name),
                reply ->
                        PlatformClient.isAbsent(reply)
                                ? Optional.empty()
                                : Optional.of(reply.body()));
    }

    @Override
    public CompletionStage<List<String>> list(String prefix) {
        return client.read(
                PATH,
                Map.of("prefix", prefix),
                reply -> Json.read(reply.body(), TableMessages.ObjectNames.class).names());
    }
}
