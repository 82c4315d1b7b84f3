package org.quetzalscale.net.http;

/** Sends lines of a streamed answer. Safe for use by several threads. */
public interface LineSink {
    /** Sends one line; a closed sink ignores it. */
    void send(String line);

    /** Whether the connection takes more now; a reader that is too slow makes this false. */
    boolean isWritable();

    /** Ends the answer. */
    void close();

    /** Runs the action once, when the connection closes or the answer ends. */
    void onClose(Runnable action);
}
