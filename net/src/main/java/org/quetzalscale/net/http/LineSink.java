package org.quetzalscale.net.http;

/** Sends the lines of a streamed response. Safe for use by several threads. */
public interface LineSink {
    /** Sends one line; a closed sink ignores it. */
    void send(String line);

    /** Whether the connection can take more data now; false while the reader is too slow. */
    boolean isWritable();

    /** Ends the response and closes the connection. */
    void close();

    /** Runs the action once, when the connection closes or the response ends. */
    void onClose(Runnable action);
}
