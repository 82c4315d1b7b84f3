package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** A text file of what happened, each line with the seconds since the start. */
final class Timeline {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    Timeline(Path file) {
        try {
            out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Seconds since the start. */
    double seconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    synchronized void add(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }

    void stop() {
        out.close();
    }
}
