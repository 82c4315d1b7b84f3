package org.quetzalscale.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.config.ResourceEdit;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.FieldReader;
import org.quetzalscale.daemon.config.WriteResult;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.SpecJson;

/** Writes resources and responds once the writes are in force or the wait for that times out. */
final class ResourceWriter {
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_ACCEPTED = 202;

    private final ConfigService config;
    private final ResourceReader reader;
    private final SecureRandom random = new SecureRandom();

    ResourceWriter(ConfigService config, ResourceReader reader) {
        this.config = config;
        this.reader = reader;
    }

    CompletionStage<HttpReply> create(Kind kind, byte[] body) {
        requireWritable(kind);
        ResourceDocument document = ResourceDocument.read(kind, Optional.empty(), body);
        Optional<KeySecret> secret = makeSecret(document);
        secret.ifPresent(made -> ((ObjectNode) document.spec()).put("secretHash", made.hash()));
        Spec spec = SpecJson.read(kind, document.spec());
        return config.write(ConfigWrite.of(ResourceEdit.create(document.name(), spec)))
                .thenApply(result -> reply(result, STATUS_CREATED, secret));
    }

    CompletionStage<HttpReply> replace(Kind kind, String name, byte[] body) {
        requireWritable(kind);
        ResourceDocument document = ResourceDocument.read(kind, Optional.of(name), body);
        Revision version =
                document.version()
                        .filter(stated -> stated.isNewerThan(Revision.NONE))
                        .orElseThrow(
                                () ->
                                        FieldReader.invalid(
                                                "resourceVersion",
                                                document.version().orElse(null),
                                                "expected the version that this write replaces"));
        Spec spec = SpecJson.read(kind, document.spec());
        return config.write(ConfigWrite.of(ResourceEdit.replace(name, spec, Optional.of(version))))
                .thenApply(result -> reply(result, STATUS_OK, Optional.empty()));
    }

    CompletionStage<HttpReply> delete(Kind kind, String name, Optional<Revision> version) {
        requireWritable(kind);
        return config.write(ConfigWrite.of(ResourceEdit.delete(kind, name, version)))
                .thenApply(result -> reply(result, STATUS_OK, Optional.empty()));
    }

    private static void requireWritable(Kind kind) {
        if (kind == Kind.ASSIGNMENTS) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED, "assignments are written by the system only");
        }
    }

    private Optional<KeySecret> makeSecret(ResourceDocument document) {
        if (document.kind() != Kind.KEYS
                || !document.spec().isObject()
                || document.spec().hasNonNull("secretHash")) {
            return Optional.empty();
        }
        byte[] bytes = new byte[KeySecret.RANDOM_BYTES];
        random.nextBytes(bytes);
        return Optional.of(KeySecret.of(new KeyId(document.name()), bytes));
    }

    private HttpReply reply(WriteResult result, int status, Optional<KeySecret> secret) {
        // An edit may also change dependent resources; its own change is the first.
        Change change = result.changes().get(0);
        ObjectNode node =
                change.spec()
                        .map(
                                spec ->
                                        reader.show(
                                                config.snapshot(),
                                                change.kind(),
                                                change.name(),
                                                new Versioned(change.revision(), spec)))
                        .orElseGet(
                                () ->
                                        JsonNodeFactory.instance
                                                .objectNode()
                                                .put("kind", change.kind().path())
                                                .put("name", change.name()));
        node.put("revision", result.revision().value()).put("inForce", result.inForce());
        ArrayNode pending = node.putArray("pending");
        result.pending().forEach(id -> pending.add(id.value()));
        secret.ifPresent(made -> node.put("secret", made.reveal()));
        return HttpReply.json(result.inForce() ? status : STATUS_ACCEPTED, node);
    }
}
