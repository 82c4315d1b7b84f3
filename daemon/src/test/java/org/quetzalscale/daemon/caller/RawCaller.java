package org.quetzalscale.daemon.caller;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller that sends raw bytes and parses answers independently of Netty. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    /**
     * An answer as received.
     *
     * @param whole whether the body is complete according to its head
     */
    record Answer(int status, Map<String, String> headers, String body, boolean whole) {
        String run() {
            return headers.get("quetzalscale-run");
        }
    }

    private final Socket socket;
    private final InputStream in;

    RawCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    RawCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads the next answer; null if the connection is closed before one. */
    Answer read() throws IOException {
        String head = readLine();
        if (head == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String[] parts = line.split(": ", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1]);
        }
        int status = Integer.parseInt(head.split(" ")[1]);
        StringBuilder body = new StringBuilder();
        boolean whole = true;
        if (headers.containsKey("transfer-encoding")) {
            whole = readChunks(body);
        } else if (status >= 200 && headers.containsKey("content-length")) {
            whole = readBytes(Integer.parseInt(headers.get("content-length")), body);
        }
        return new Answer(status, headers, body.toString(), whole);
    }

    /** Reads an answer to a HEAD request, which has no body despite its Content-Length. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append('\n');
        }
        return head.toString();
    }

    boolean isAtEnd() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private boolean readChunks(StringBuilder body) throws IOException {
        while (true) {
            String size = readLine();
            if (size == null) {
                return false;
            }
            int bytes = Integer.parseInt(size, 16);
            if (!readBytes(bytes, body) || readLine() == null) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }

    private boolean readBytes(int count, StringBuilder body) throws IOException {
        byte[] bytes;
        try {
            bytes = in.readNBytes(count);
        } catch (java.net.SocketException e) {
            return false;
        }
        body.append(new String(bytes, StandardCharsets.ISO_8859_1));
        return bytes.length == count;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    return line.substring(0, line.length() - 1);
                }
                line.append((char) c);
            }
        } catch (java.net.SocketException e) {
            return null;
        }
        return null;
    }
}
