package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Chooses the headers that pass from one side to the other. */
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
                    // The body is framed anew on the other side.
                    "content-length");
    private static final Set<String> NOT_FROM_CALLERS =
            Set.of("authorization", "expect", "x-team", "x-request-id");
    private static final Set<String> NOT_FROM_TARGETS = Set.of("quetzalscale-run", "x-request-id");

    private EndToEndHeaders() {}

    /** Headers of a request that the target gets. */
    static HttpHeaders ofRequest(HttpHeaders headers) {
        return copyWithout(headers, NOT_FROM_CALLERS);
    }

    /** Headers of an answer that the caller gets. */
    static HttpHeaders ofAnswer(HttpHeaders headers) {
        return copyWithout(headers, NOT_FROM_TARGETS);
    }

    private static HttpHeaders copyWithout(HttpHeaders headers, Set<String> dropped) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                named.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        for (Map.Entry<String, String> header : headers) {
            // Some servers read X_Team as X-Team.
            String name = header.getKey().toLowerCase(Locale.ROOT).replace('_', '-');
            if (!HOP_BY_HOP.contains(name) && !dropped.contains(name) && !named.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
