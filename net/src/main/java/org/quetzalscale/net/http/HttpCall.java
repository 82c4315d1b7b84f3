package org.quetzalscale.net.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A request with a small body.
 *
 * @param path the decoded path, without the query
 * @param query decoded query parameters, each with its values in order
 * @param headers header values by lower-case name
 */
public record HttpCall(
        HttpMethod method,
        String path,
        Map<String, List<String>> query,
        Map<String, String> headers,
        byte[] body) {
    /** Requires all parts. */
    public HttpCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** A call without query or headers. */
    public static HttpCall of(HttpMethod method, String path, byte[] body) {
        return new HttpCall(method, path, Map.of(), Map.of(), body);
    }

    /** The value of a header; the name is in lower case. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** The first value of a query parameter. */
    public Optional<String> parameter(String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst();
    }
}
