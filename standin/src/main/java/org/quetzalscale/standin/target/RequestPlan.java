package org.quetzalscale.standin.target;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * What a request asks the target to do: {@code /echo} returns the body, any other path a generated
 * one; the query may hold {@code ms}, {@code size}, {@code status} and {@code chunked=true}.
 *
 * @param serviceMillis time that it takes, in ms
 * @param sizeBytes size of the generated body
 * @param chunked whether the generated body is sent without a content length
 */
record RequestPlan(
        String path,
        boolean echo,
        long serviceMillis,
        long sizeBytes,
        int status,
        boolean chunked) {
    private static final long MAX_SERVICE_MILLIS = 600_000;
    private static final long MAX_SIZE_BYTES = 1L << 30;
    private static final int DEFAULT_SIZE_BYTES = 64;
    private static final int DEFAULT_STATUS = 200;

    static RequestPlan of(HttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        return new RequestPlan(
                uri.path(),
                uri.path().equals("/echo") || uri.path().endsWith("/echo"),
                number(uri, "ms", 0, MAX_SERVICE_MILLIS),
                number(uri, "size", DEFAULT_SIZE_BYTES, MAX_SIZE_BYTES),
                (int) number(uri, "status", DEFAULT_STATUS, 599),
                uri.parameters().getOrDefault("chunked", List.of()).contains("true"));
    }

    private static long number(QueryStringDecoder uri, String name, long whenAbsent, long max) {
        List<String> values = uri.parameters().get(name);
        if (values == null || !values.get(0).matches("\\d{1,12}")) {
            return whenAbsent;
        }
        return Math.min(max, Long.parseLong(values.get(0)));
    }
}
