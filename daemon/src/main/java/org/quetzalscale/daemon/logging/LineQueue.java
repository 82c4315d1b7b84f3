package org.quetzalscale.daemon.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;

/**
 * Writes lines to a stream on a thread of its own. A stalled stream never blocks the threads that
 * log: lines that don't fit into the queue are dropped and counted.
 */
final class LineQueue {
    /** Limits the queue to a few megabytes. */
    private static final int MAX_LINES = 4_096;

    private static final long FLUSH_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong unwritten = new AtomicLong();
    private final PrintStream stream;
    private final LongFunction<String> droppedLine;
    private final Thread writer;

    /**
     * Creates a queue and starts its thread.
     *
     * @param droppedLine creates the line that reports the number of dropped lines
     */
    LineQueue(PrintStream stream, LongFunction<String> droppedLine) {
        this.stream = stream;
        this.droppedLine = droppedLine;
        this.writer = new Thread(this::writeLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds a line, or drops it if the queue is full. */
    void add(String line) {
        unwritten.incrementAndGet();
        if (!lines.offer(line)) {
            unwritten.decrementAndGet();
            drop();
        }
    }

    /** Counts a line as dropped. */
    void drop() {
        dropped.incrementAndGet();
    }

    /** Waits until all lines are written, 300 ms at most. */
    void flush() {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
        while (unwritten.get() > 0 && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private void writeLines() {
        try {
            while (true) {
                stream.println(lines.take());
                unwritten.decrementAndGet();
                long droppedCount = lines.isEmpty() ? dropped.getAndSet(0) : 0;
                if (droppedCount > 0) {
                    stream.println(droppedLine.apply(droppedCount));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
