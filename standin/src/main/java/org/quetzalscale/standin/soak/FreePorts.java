package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free loopback ports below those that the system hands out itself, and reserves them, so
 * that another soak does not take the ports of a node that is down.
 */
final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int LAST = 32_000;
    private static final int BLOCK = 100;
    private static final int BLOCKS = (LAST - FIRST) / BLOCK;

    /** Keeps soaks apart that start at the same time, as processes with successive ids. */
    private static final int PROCESS_BLOCKS = 61;

    private final List<ServerSocket> reservations = new ArrayList<>();
    private int next =
            FIRST + (int) (ProcessHandle.current().pid() * PROCESS_BLOCKS % BLOCKS) * BLOCK;

    /**
     * Returns the first of some successive free ports, which are reserved until {@link #stop}.
     *
     * @param count number of ports, less than 100
     */
    int next(int count) throws IOException {
        for (int tries = 0; tries < BLOCKS; tries++) {
            int first = next;
            next = next + BLOCK < LAST ? next + BLOCK : FIRST;
            if (reserve(first) && areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    /** Ends the reservations. */
    void stop() {
        try {
            for (ServerSocket reservation : reservations) {
                reservation.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Listens on the last port of a block for as long as the block is reserved. */
    private boolean reserve(int first) throws IOException {
        ServerSocket reservation = new ServerSocket();
        try {
            reservation.bind(new InetSocketAddress("127.0.0.1", first + BLOCK - 1));
            reservations.add(reservation);
            return true;
        } catch (IOException e) {
            reservation.close();
            return false;
        }
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
