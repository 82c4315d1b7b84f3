package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers that are forwarded between callers and targets. */
final class EndToEndHeaders {
    static final String REQUEST_ID = "X-Request-Id";
    static final String TEAM = "X-Team";
    static final String RUN = "Quetzalscale-Run";

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    // Set again for each side, because the framing of the body may differ.
                    "content-length");
    private static final Set<String> NOT_FROM_CALLERS =
            Set.of("authorization", "expect", "x-team", "x-request-id");
    private static final Set<String> NOT_FROM_TARGETS = Set.of("quetzalscale-run", "x-request-id");

    private EndToEndHeaders() {}

    /** Returns the headers of a request that are forwarded to the target. */
    static HttpHeaders ofRequest(HttpHeaders headers) {
        return copyWithout(headers, NOT_FROM_CALLERS);
    }

    /** Returns the headers of an answer that are forwarded to the caller. */
    static HttpHeaders ofAnswer(HttpHeaders headers) {
        return copyWithout(headers, NOT_FROM_TARGETS);
    }

    private static HttpHeaders copyWithout(HttpHeaders headers, Set<String> dropped) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        for (Map.Entry<String, String> header : headers) {
            // Some servers treat X_Team as X-Team, so underscores count as hyphens.
            String name = header.getKey().toLowerCase(Locale.ROOT).replace('_', '-');
            if (!HOP_BY_HOP.contains(name)
                    && !dropped.contains(name)
                    && !connectionOptions.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
