package org.quetzalscale.net.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An HTTP request whose whole body is held in memory.
 *
 * @param path the decoded path, without the query
 * @param query decoded query parameters, each with its values in the order of the query string
 * @param headers header values by lower-case name
 */
public record HttpCall(
        HttpMethod method,
        String path,
        Map<String, List<String>> query,
        Map<String, String> headers,
        byte[] body) {
    /** Copies the maps; no component may be null. */
    public HttpCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Creates a request without query parameters or headers. */
    public static HttpCall of(HttpMethod method, String path, byte[] body) {
        return new HttpCall(method, path, Map.of(), Map.of(), body);
    }

    /** Returns the value of a header; the name must be in lower case. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> parameter(String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst();
    }
}
