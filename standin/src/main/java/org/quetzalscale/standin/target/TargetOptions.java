package org.quetzalscale.standin.target;

/**
 * Settings of a target stand-in.
 *
 * @param name name in the header {@code X-Target} of its answers
 * @param host IP number to listen on
 * @param port port for requests, or 0 for any
 * @param controlPort port for commands, or 0 for any
 * @param slots requests that it runs at once
 * @param connections connections that it keeps at once; more are closed when they open
 */
public record TargetOptions(
        String name, String host, int port, int controlPort, int slots, int connections) {
    /** Requires at least one slot and connection. */
    public TargetOptions {
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "a target needs a slot and a connection, has " + slots + " and " + connections);
        }
    }

    /**
     * Listens on the loopback address and any ports, with the slots and connections of a worker.
     */
    public static TargetOptions defaults() {
        return new TargetOptions("target", "127.0.0.1", 0, 0, 8, 64);
    }
}
