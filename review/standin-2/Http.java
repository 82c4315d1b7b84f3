import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback. */
final class Http {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int MAX_QUEUE = 256;

    private Http() {}

    /** A request as the server has read it. */
    record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            String body) {
        String parameter(String name) {
            return query.getOrDefault(name, "");
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** A response; status 0 means that there was none. */
    record Reply(int status, String body) {
        /** The connection delivers nothing from now on. */
        static final Reply SILENT = new Reply(-1, "");

        /** The connection is reset. */
        static final Reply RESET = new Reply(-2, "");

        static Reply json(int status, Object body) {
            return new Reply(status, Json.write(body));
        }
    }

    @FunctionalInterface
    interface Handler {
        Reply handle(Request request) throws InterruptedException;
    }

    /**
     * A server that can end and begin again, as a process does. Its port stays bound meanwhile, so
     * that no other process takes it; each connection is reset, as at a port with no listener.
     */
    static final class Server {
        private final Handler handler;
        private final int queue;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean open;
        private volatile boolean dark;
        private final List<Socket> fillers = new ArrayList<>();
        private int port;

        Server(Handler handler) {
            this(handler, MAX_QUEUE);
        }

        /** Creates a server with a queue of connections that nobody has taken yet. */
        Server(Handler handler, int queue) {
            this.handler = handler;
            this.queue = queue;
        }

        int port() {
            return port;
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        synchronized void start() {
            open = true;
            if (port != 0) {
                light();
                return;
            }
            try {
                ServerSocket socket = new ServerSocket();
                socket.bind(new InetSocketAddress(LOOPBACK, 0), queue);
                port = socket.getLocalPort();
                daemon("listen-" + port, () -> accept(socket));
            } catch (IOException e) {
                throw new IllegalStateException("cannot listen", e);
            }
        }

        /**
         * The machine loses its power: open connections stay silent, and new ones hang, since the
         * queue of connections is full and nobody takes from it.
         */
        synchronized void darken() {
            open = false;
            dark = true;
            for (int i = 0; i <= queue + 1; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                daemon("fill-" + port, () -> connect(filler));
            }
        }

        private void connect(Socket filler) {
            try {
                filler.connect(new InetSocketAddress(LOOPBACK, port));
            } catch (IOException e) {
                // It is closed as the power returns.
            }
        }

        /** The power returns: what was open before is reset. */
        private void light() {
            dark = false;
            fillers.forEach(Http::reset);
            fillers.clear();
            connections.forEach(Http::reset);
            connections.clear();
        }

        /** Ends the server: all connections are reset, and new ones are. */
        synchronized void stop() {
            open = false;
            for (Socket socket : connections) {
                reset(socket);
            }
            connections.clear();
        }

        private void accept(ServerSocket socket) {
            try {
                while (true) {
                    while (dark) {
                        Worker.sleep(5);
                    }
                    Socket connection = socket.accept();
                    if (!open) {
                        reset(connection);
                        continue;
                    }
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    daemon("serve-" + port, () -> serve(connection));
                }
            } catch (IOException e) {
                throw new IllegalStateException("the listener has ended", e);
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    Reply reply = handler.handle(request);
                    if (dark) {
                        reply = Reply.SILENT;
                    }
                    if (reply == Reply.RESET) {
                        reset(connection);
                        return;
                    }
                    if (reply == Reply.SILENT) {
                        while (in.read() >= 0) {
                            // Takes what arrives and answers nothing.
                        }
                        return;
                    }
                    byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 "
                                    + reply.status()
                                    + " Status\r\nContent-Type: application/json\r\n"
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    connection.getOutputStream().write(out.toByteArray());
                }
            } catch (IOException e) {
                // The peer has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(connection);
            }
        }
    }

    static void daemon(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = readBody(in, headers);
        String[] uri = words[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (uri.length > 1) {
            for (String pair : uri[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(
                        decode(parts[0]), parts.length > 1 ? decode(parts[1]) : "");
            }
        }
        return new Request(words[0], decode(uri[0]), query, headers, body);
    }

    private static String decode(String text) {
        return java.net.URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = readLine(in);
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers)
            throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Sends one request on a connection of its own. Status 0: no answer. */
    static Reply call(
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = readLine(in);
            if (first == null) {
                return new Reply(0, "");
            }
            int status = Integer.parseInt(first.split(" ")[1]);
            return new Reply(status, readBody(in, readHeaders(in)));
        } catch (IOException e) {
            return new Reply(0, "");
        }
    }
}
