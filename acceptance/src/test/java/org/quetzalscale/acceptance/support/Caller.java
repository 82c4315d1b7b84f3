package org.quetzalscale.acceptance.support;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.quetzalscale.net.json.Json;

/** Sends requests to ports of this machine, with or without the key of a team. */
public final class Caller {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(30);

    private final HttpClient client;
    private final Map<String, String> headers;

    private Caller(HttpClient client, Map<String, String> headers) {
        this.client = client;
        this.headers = headers;
    }

    /** A caller with a key's secret. */
    public static Caller withKey(String secret) {
        return withoutKey().withHeader("Authorization", "Bearer " + secret);
    }

    /** A caller that presents no key. */
    public static Caller withoutKey() {
        return new Caller(
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build(), Map.of());
    }

    /** The same caller with one more header on each request. */
    public Caller withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new Caller(client, more);
    }

    /** Sends a request; the body may be empty. */
    public CompletableFuture<HttpResponse<String>> send(
            int port, String method, String path, String body) {
        return client.sendAsync(
                request(port, path)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and waits for its answer. */
    public HttpResponse<String> call(int port, String method, String path, String body) {
        return send(port, method, path, body).join();
    }

    /** Sends a GET request and returns once the head of the answer is there. */
    public HttpResponse<InputStream> open(int port, String path) {
        try {
            return client.send(
                    request(port, path).GET().build(), HttpResponse.BodyHandlers.ofInputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The JSON answer to a GET request. */
    public JsonNode json(int port, String path) {
        return read(call(port, "GET", path, ""));
    }

    /** The body of an answer as JSON. */
    public static JsonNode read(HttpResponse<String> answer) {
        return Json.readTree(answer.body().getBytes(StandardCharsets.UTF_8));
    }

    /** The code of the error that an answer reports, or empty. */
    public static String errorCode(HttpResponse<String> answer) {
        return answer.statusCode() < 400 ? "" : read(answer).path("error").path("code").asText("");
    }

    private HttpRequest.Builder request(int port, String path) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(CALL_LIMIT);
        headers.forEach(request::header);
        return request;
    }
}
