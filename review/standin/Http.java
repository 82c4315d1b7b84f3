package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server of a stand-in on a free loopback port. */
final class Http {
    /** One call; the handler returns the status and body, or null for no answer. */
    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    record Call(String method, String path, Map<String, String> query, HttpExchange exchange,
            byte[] body) {
        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }

        JsonNode json() {
            return Json.read(body);
        }

        long number(String name, long otherwise) {
            String text = query.get(name);
            return text == null ? otherwise : Long.parseLong(text);
        }
    }

    record Reply(int status, JsonNode body) {}

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private final HttpServer server;

    Http(Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void serve(HttpExchange exchange, Handler handler) {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Call call =
                    new Call(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query(exchange.getRequestURI().getRawQuery()),
                            exchange,
                            body);
            Reply reply = handler.handle(call);
            if (reply == null) {
                return; // No answer: the connection stays silent until the caller closes it.
            }
            byte[] text = reply.body() == null ? new byte[0] : Json.write(reply.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), text.length == 0 ? -1 : text.length);
            if (text.length > 0) {
                exchange.getResponseBody().write(text);
            }
            exchange.close();
        } catch (Exception e) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> found = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    found.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
                }
            }
        }
        return found;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
