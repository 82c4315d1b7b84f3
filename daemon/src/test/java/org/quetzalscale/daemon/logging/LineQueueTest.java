package org.quetzalscale.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class LineQueueTest {
    private static final int LINES = 20_000;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final CountDownLatch readable = new CountDownLatch(1);

    /** A stream that blocks writes until the test releases the latch. */
    private PrintStream blockedStream() {
        return new PrintStream(
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        try {
                            readable.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        written.write(value);
                    }
                });
    }

    private String text() {
        return written.toString(StandardCharsets.UTF_8);
    }

    /** Guards against callers that block because nothing reads the log. */
    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void neverWaitsForTheStream() throws InterruptedException {
        LineQueue queue = new LineQueue(blockedStream(), count -> "dropped " + count);
        for (int i = 0; i < LINES; i++) {
            queue.add("line " + i);
        }
        readable.countDown();
        while (!text().contains("dropped ")) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        long lines = text().lines().filter(line -> line.startsWith("line ")).count();
        long dropped =
                Long.parseLong(
                        text().lines()
                                .filter(line -> line.startsWith("dropped "))
                                .findFirst()
                                .orElseThrow()
                                .substring("dropped ".length()));
        assertThat(lines + dropped).isEqualTo(LINES);
        assertThat(lines).isPositive();
    }

    /** Guards against losing the last lines of a process, which show why it ended. */
    @Test
    void writesWhatIsQueuedBeforeItCloses() {
        LineQueue queue =
                new LineQueue(new PrintStream(written, true), count -> "dropped " + count);
        for (int i = 0; i < 100; i++) {
            queue.add("line " + i);
        }
        queue.flush();
        assertThat(text().lines()).hasSize(100).last().isEqualTo("line 99");
    }

    /**
     * Guards against a log rate that uses up the processor, and against one that is cut off
     * entirely.
     */
    @Test
    void limitsTheRate() {
        LogBudget budget = new LogBudget();
        int written = 0;
        for (int milli = 0; milli < 10_000; milli++) {
            for (int i = 0; i < 10; i++) {
                written += budget.take(TimeUnit.MILLISECONDS.toNanos(milli)) ? 1 : 0;
            }
        }
        assertThat(written).isBetween(7_900, 8_100);
    }
}
