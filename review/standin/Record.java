package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    Record(Path file) throws IOException {
        out = new PrintStream(file.toFile(), "UTF-8");
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }
}
