package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.time.TimeSource;

/** Checks the head of a request against the configuration. */
final class RequestParser {
    private static final Pattern QUEUE_PATH = Pattern.compile("/q/([^/?]+)(/[^?]*)?(\\?.*)?");
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[!-~]{1,255}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,5}");

    private final ConfigSource config;
    private final TimeSource time;

    RequestParser(ConfigSource config, TimeSource time) {
        this.config = config;
        this.time = time;
    }

    /** The caller's request identifier if it has the right form, otherwise a new one. */
    static String requestId(HttpRequest request) {
        List<String> given = request.headers().getAll(EndToEndHeaders.REQUEST_ID);
        if (given.size() == 1 && REQUEST_ID.matcher(given.get(0)).matches()) {
            return given.get(0);
        }
        return newRequestId();
    }

    static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return String.format("%016x%016x", random.nextLong(), random.nextLong());
    }

    /**
     * The checked request.
     *
     * @throws QuetzalscaleException with the run state NOT_RUN
     */
    CallerRequest parse(HttpRequest request, String requestId) {
        RequestHeadValidator.requireWellFormed(request);
        requireValid(config);
        ConfigSnapshot snapshot = config.snapshot();
        Matcher path = QUEUE_PATH.matcher(request.uri());
        QueueId queue = path.matches() ? queueId(path.group(1)) : null;
        QueueSpec spec = queue == null ? null : snapshot.queue(queue).orElse(null);
        if (spec == null) {
            throw new QuetzalscaleException(
                    ErrorKind.QUEUE_UNKNOWN, "no queue belongs to the path " + request.uri());
        }
        HttpHeaders headers = request.headers();
        Optional<VerifiedKey> key =
                KeyVerifier.verify(snapshot, authorization(headers), spec.open());
        Optional<String> idempotencyKey = idempotencyKey(headers, key.isPresent());
        long now = time.nowMillis();
        return new CallerRequest(
                requestId,
                request.method(),
                queue,
                spec,
                (path.group(2) == null ? "/" : path.group(2))
                        + (path.group(3) == null ? "" : path.group(3)),
                key,
                idempotencyKey,
                urgent(headers),
                contentLength(headers),
                EndToEndHeaders.ofRequest(headers),
                now,
                now + timeoutMillis(headers, spec));
    }

    /**
     * The key of a call that this process answers itself.
     *
     * @throws QuetzalscaleException with the run state NOT_RUN
     */
    VerifiedKey parseTeamCall(HttpRequest request) {
        RequestHeadValidator.requireWellFormed(request);
        requireValid(config);
        return KeyVerifier.verify(config.snapshot(), authorization(request.headers()), false)
                .orElseThrow();
    }

    /**
     * Requires that the configuration may be used for new work.
     *
     * @throws QuetzalscaleException CONFIG_STALE
     */
    static void requireValid(ConfigSource config) {
        if (!config.isValid()) {
            throw new QuetzalscaleException(
                    ErrorKind.CONFIG_STALE,
                    "this instance can't prove that its configuration is current");
        }
    }

    private static String authorization(HttpHeaders headers) {
        return single(headers, HttpHeaderNames.AUTHORIZATION.toString()).orElse(null);
    }

    private static QueueId queueId(String name) {
        try {
            return new QueueId(name);
        } catch (QuetzalscaleException e) {
            return null;
        }
    }

    private static Optional<String> idempotencyKey(HttpHeaders headers, boolean hasTeam) {
        Optional<String> key = single(headers, "Idempotency-Key");
        if (key.isPresent() && !hasTeam) {
            throw new QuetzalscaleException(
                    ErrorKind.KEY_MISSING, "Idempotency-Key requires the key of a team");
        }
        key.filter(value -> !IDEMPOTENCY_KEY.matcher(value).matches())
                .ifPresent(
                        value -> {
                            throw invalid("Idempotency-Key", "1 to 255 printable characters");
                        });
        return key;
    }

    private static boolean urgent(HttpHeaders headers) {
        String priority = single(headers, "Quetzalscale-Priority").orElse("normal");
        return switch (priority) {
            case "normal" -> false;
            case "urgent" -> true;
            default -> throw invalid("Quetzalscale-Priority", "normal or urgent");
        };
    }

    private static long timeoutMillis(HttpHeaders headers, QueueSpec spec) {
        Optional<String> given = single(headers, "Quetzalscale-Timeout-Ms");
        if (given.isEmpty()) {
            return spec.timeoutMs();
        }
        int millis = MILLIS.matcher(given.get()).matches() ? Integer.parseInt(given.get()) : 0;
        if (millis < 1 || millis > QueueSpec.MAX_TIMEOUT_MILLIS) {
            throw invalid(
                    "Quetzalscale-Timeout-Ms",
                    "a number from 1 to " + QueueSpec.MAX_TIMEOUT_MILLIS);
        }
        return millis;
    }

    private static long contentLength(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return -1;
        }
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? 0 : Long.parseLong(length);
    }

    private static Optional<String> single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_REQUEST,
                    name,
                    "the request has " + values.size() + " headers " + name);
        }
        return values.stream().findFirst();
    }

    private static QuetzalscaleException invalid(String header, String expected) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD, header, header + " is invalid: expected " + expected);
    }
}
