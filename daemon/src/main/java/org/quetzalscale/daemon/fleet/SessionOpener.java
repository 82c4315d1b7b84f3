package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Starts the sessions of a term a few at a time. A first call sets up a connection; with hundreds
 * of workers at once, these calls would delay the renewals of the owner's lease until it expires.
 */
final class SessionOpener {
    private static final int MAX_OPENING = 8;

    /** A worker that does not respond delays the next session for this long at most. */
    private static final long MAX_WAIT_MILLIS = 100;

    private final LoopClock clock;
    private final Queue<WorkerSession> waiting = new ArrayDeque<>();
    private int opening;

    SessionOpener(LoopClock clock) {
        this.clock = clock;
    }

    /** Starts a session, once fewer than the permitted number of others are being opened. */
    void open(WorkerSession session) {
        waiting.add(session);
        openNext();
    }

    /** Whether every session has made its first call, or waited for it as long as it may. */
    boolean isIdle() {
        return opening == 0;
    }

    private void openNext() {
        while (opening < MAX_OPENING && !waiting.isEmpty()) {
            opening++;
            Runnable opened = onlyOnce(this::opened);
            clock.after(MAX_WAIT_MILLIS, opened);
            waiting.poll().start(opened);
        }
    }

    private void opened() {
        opening--;
        openNext();
    }

    private static Runnable onlyOnce(Runnable action) {
        Queue<Runnable> remaining = new ArrayDeque<>();
        remaining.add(action);
        return () -> {
            Runnable next = remaining.poll();
            if (next != null) {
                next.run();
            }
        };
    }
}
