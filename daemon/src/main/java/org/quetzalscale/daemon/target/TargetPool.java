package org.quetzalscale.daemon.target;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.time.TimeSource;

/**
 * The connections to one target. An idle connection is reused only on its own event loop, so that a
 * request and its answer are processed on one thread.
 */
final class TargetPool {
    private record Idle(TargetConnection connection, long sinceMillis) {}

    private final String address;
    private final TargetLimits limits;
    private final TimeSource time;
    private final ClosingListener closingListener;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private int open;
    private boolean sweepScheduled;

    TargetPool(
            String address, TargetLimits limits, TimeSource time, ClosingListener closingListener) {
        this.address = address;
        this.limits = limits;
        this.time = time;
        this.closingListener = closingListener;
    }

    /** Returns an idle connection of the event loop within the idle limit, or null. */
    synchronized TargetConnection acquireIdle(EventLoop loop) {
        long minSinceMillis = time.nowMillis() - limits.idleMillis();
        for (Iterator<Idle> candidates = idle.descendingIterator(); candidates.hasNext(); ) {
            Idle candidate = candidates.next();
            if (candidate.sinceMillis() < minSinceMillis) {
                candidates.remove();
                candidate.connection().closeFromPool();
            } else if (candidate.connection().context().channel().eventLoop() == loop) {
                candidates.remove();
                if (candidate.connection().isUsable()) {
                    return candidate.connection();
                }
            }
        }
        return null;
    }

    /** Counts a connection that is being opened; closes the oldest idle one if above the limit. */
    synchronized void opening() {
        open++;
        if (open > limits.maxConnections() && !idle.isEmpty()) {
            idle.removeFirst().connection().closeFromPool();
        }
    }

    synchronized void closed(TargetConnection connection) {
        open--;
        idle.removeIf(candidate -> candidate.connection() == connection);
    }

    void offer(TargetConnection connection) {
        synchronized (this) {
            idle.addLast(new Idle(connection, time.nowMillis()));
            if (sweepScheduled) {
                return;
            }
            sweepScheduled = true;
        }
        scheduleSweep(connection.context().executor());
    }

    void announceClosing() {
        closingListener.closing(address);
    }

    synchronized void closeAll() {
        idle.forEach(candidate -> candidate.connection().closeFromPool());
        idle.clear();
    }

    synchronized int openConnections() {
        return open;
    }

    private void scheduleSweep(EventExecutor executor) {
        executor.schedule(
                () -> closeStale(executor), limits.idleMillis() + 1L, TimeUnit.MILLISECONDS);
    }

    private synchronized void closeStale(EventExecutor executor) {
        long minSinceMillis = time.nowMillis() - limits.idleMillis();
        while (!idle.isEmpty() && idle.getFirst().sinceMillis() < minSinceMillis) {
            idle.removeFirst().connection().closeFromPool();
        }
        sweepScheduled = !idle.isEmpty();
        if (sweepScheduled) {
            scheduleSweep(executor);
        }
    }
}
