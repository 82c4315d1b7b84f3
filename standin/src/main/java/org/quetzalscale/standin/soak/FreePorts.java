package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds free loopback ports below those that the system hands out itself. */
final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int LAST = 32_000;
    private static final int BLOCK = 100;

    private static final int BLOCKS = (LAST - FIRST) / BLOCK;

    /** Keeps soaks apart that start at the same time, as processes with successive ids. */
    private static final int PROCESS_BLOCKS = 61;

    private int next =
            FIRST + (int) (ProcessHandle.current().pid() * PROCESS_BLOCKS % BLOCKS) * BLOCK;

    /** Returns the first of some successive free ports. */
    int next(int count) throws IOException {
        for (int tries = 0; tries < BLOCKS; tries++) {
            int first = next;
            next = next + BLOCK < LAST ? next + BLOCK : FIRST;
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no free ports");
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
