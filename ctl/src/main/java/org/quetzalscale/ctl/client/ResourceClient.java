package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/**
 * Reads and writes resources. Every write names the version that it replaces, so that it takes
 * effect at most once; a write whose answer was lost is read back before it is repeated.
 */
public final class ResourceClient {
    private static final int MAX_ATTEMPTS = 5;
    private static final long READ_BACK_PAUSE_MILLIS = 300;
    private static final Set<String> CONFLICTS =
            Set.of(
                    ErrorKind.RESOURCE_EXISTS.code(),
                    ErrorKind.RESOURCE_UNKNOWN.code(),
                    ErrorKind.VERSION_CONFLICT.code());

    private final OperatorClient client;
    private final Timing timing;

    /** Creates a client for resources. */
    public ResourceClient(OperatorClient client, Timing timing) {
        this.client = client;
        this.timing = timing;
    }

    /** All resources of a kind. */
    public ResourceList list(Kind kind) {
        JsonNode body = client.read("/v1/" + kind.path(), Map.of());
        List<Resource> items = new ArrayList<>();
        (body.isArray() ? body : body.path("items"))
                .forEach(document -> items.add(Resource.of(kind, document)));
        return new ResourceList(body.path("revision").asLong(), items);
    }

    /** One resource, if it exists. */
    public Optional<Resource> find(Kind kind, String name) {
        try {
            return Optional.of(Resource.of(kind, client.read(path(kind, name), Map.of())));
        } catch (CtlException e) {
            if (isRefusal(e, ErrorKind.RESOURCE_UNKNOWN)) {
                return Optional.empty();
            }
            throw e;
        }
    }

    /** One resource. */
    public Resource get(Kind kind, String name) {
        return find(kind, name)
                .orElseThrow(
                        () ->
                                CtlException.refused(
                                        ErrorKind.RESOURCE_UNKNOWN.code(),
                                        kind.path() + "/" + name + " does not exist"));
    }

    /** Creates a resource that must not exist. */
    public Written create(Resource resource) {
        return write(
                resource,
                () ->
                        client.write(
                                HttpMethod.POST,
                                "/v1/" + resource.kind().path(),
                                Map.of(),
                                body(resource)),
                found -> found.filter(now -> hasSpec(now, resource)).map(Resource::version),
                Optional::isEmpty);
    }

    /** Replaces the declaration of the version that the resource names. */
    public Written replace(Resource resource) {
        return write(
                resource,
                () ->
                        client.write(
                                HttpMethod.PUT,
                                path(resource.kind(), resource.name()),
                                Map.of(),
                                body(resource)),
                found ->
                        found.filter(now -> now.version() != resource.version())
                                .filter(now -> hasSpec(now, resource))
                                .map(Resource::version),
                found -> found.filter(now -> now.version() == resource.version()).isPresent());
    }

    /** Deletes the version that the resource names. */
    public Written delete(Resource resource) {
        Map<String, List<String>> query =
                Map.of("resourceVersion", List.of(Long.toString(resource.version())));
        return write(
                resource,
                () ->
                        client.write(
                                HttpMethod.DELETE,
                                path(resource.kind(), resource.name()),
                                query,
                                null),
                found ->
                        found.isPresent()
                                ? Optional.empty()
                                : Optional.of(list(resource.kind()).revision()),
                found -> found.filter(now -> now.version() == resource.version()).isPresent());
    }

    /**
     * Sends a write until its outcome is known.
     *
     * @param effect the revision of the write if the resource as found shows that it took effect
     * @param unchanged whether the resource as found is the one that the write replaces
     */
    private Written write(
            Resource resource,
            Supplier<JsonNode> send,
            Function<Optional<Resource>, Optional<Long>> effect,
            Predicate<Optional<Resource>> unchanged) {
        LostAnswerException lost = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return Written.of(send.get());
            } catch (LostAnswerException e) {
                lost = e;
            } catch (CtlException e) {
                // Without a lost answer the conflict can't be this write's own effect.
                if (lost == null || e.errorCode().filter(CONFLICTS::contains).isEmpty()) {
                    throw e;
                }
            }
            Optional<Resource> found = find(resource.kind(), resource.name());
            Optional<Long> revision = effect.apply(found);
            if (revision.isPresent()) {
                return Written.readBack(revision.get());
            }
            if (!unchanged.test(found)) {
                throw CtlException.refused(
                        ErrorKind.VERSION_CONFLICT.code(),
                        resource.title() + " was changed by another operation meanwhile");
            }
            timing.pause().accept(READ_BACK_PAUSE_MILLIS);
        }
        throw new CtlException(
                ExitCode.UNREACHABLE,
                "the outcome of the write of "
                        + resource.title()
                        + " is unknown: "
                        + lost.getMessage());
    }

    private static boolean hasSpec(Resource found, Resource wanted) {
        return found.parsedSpec().equals(wanted.parsedSpec());
    }

    private static ObjectNode body(Resource resource) {
        ObjectNode document = resource.document();
        document.remove("status");
        return document;
    }

    private static String path(Kind kind, String name) {
        return "/v1/" + kind.path() + "/" + name;
    }

    private static boolean isRefusal(CtlException e, ErrorKind kind) {
        return e.errorCode().filter(kind.code()::equals).isPresent();
    }
}
