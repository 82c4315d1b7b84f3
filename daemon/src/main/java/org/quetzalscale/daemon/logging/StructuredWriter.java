package org.quetzalscale.daemon.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.quetzalscale.net.json.Json;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes each log entry to a standard stream as one line: a JSON object, or key=value pairs with
 * quoted values. tinylog creates it for {@code writer = structured}.
 *
 * <p>Entries above a rate limit are dropped, as are entries that the stream can't accept in time; a
 * line reports how many. Warnings and errors are not rate limited.
 */
public final class StructuredWriter extends AbstractFormatPatternWriter {
    private static final String TEXT = "text";
    private static final String STDOUT = "stdout";

    /** Tells tinylog which values to collect for each entry; it isn't the format of the line. */
    private static final Map<String, String> REQUIRED_VALUES =
            Map.of("format", "{date}{level}{class}{thread}{message}");

    private final boolean text;
    private final LineQueue lines;
    private final LogBudget budget = new LogBudget();

    /**
     * Creates a writer.
     *
     * @param properties the properties of the writer; {@code layout} is json or text, {@code
     *     stream} is stdout or stderr
     */
    public StructuredWriter(Map<String, String> properties) {
        this(properties, STDOUT.equals(properties.get("stream")) ? System.out : System.err);
    }

    StructuredWriter(Map<String, String> properties, PrintStream stream) {
        super(REQUIRED_VALUES);
        this.text = TEXT.equals(properties.get("layout"));
        this.lines = new LineQueue(stream, this::droppedLine);
    }

    @Override
    public void write(LogEntry entry) {
        if (!mayWrite(entry.getLevel())) {
            lines.drop();
            return;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("time", String.valueOf(entry.getTimestamp().toInstant()));
        fields.put("level", String.valueOf(entry.getLevel()).toLowerCase(Locale.ROOT));
        fields.put("class", entry.getClassName());
        fields.put("thread", entry.getThread() == null ? "" : entry.getThread().getName());
        fields.put("message", entry.getMessage() == null ? "" : entry.getMessage());
        if (entry.getException() != null) {
            StringWriter trace = new StringWriter();
            entry.getException().printStackTrace(new PrintWriter(trace));
            fields.put("exception", trace.toString());
        }
        lines.add(format(fields));
    }

    @Override
    public void flush() {
        lines.flush();
    }

    @Override
    public void close() {
        lines.flush();
    }

    private synchronized boolean mayWrite(Level level) {
        return level.ordinal() >= Level.WARN.ordinal() || budget.take(System.nanoTime());
    }

    private String droppedLine(long count) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("time", Instant.now().toString());
        fields.put("level", "warn");
        fields.put("message", "event=log_lines_dropped lines=" + count);
        return format(fields);
    }

    private String format(Map<String, String> fields) {
        return text ? pairs(fields) : Json.write(fields);
    }

    private static String pairs(Map<String, String> fields) {
        StringBuilder line = new StringBuilder();
        // Values are written as JSON strings, which escape line breaks and quotes.
        fields.forEach(
                (key, value) ->
                        line.append(line.isEmpty() ? "" : " ")
                                .append(key)
                                .append('=')
                                .append(Json.write(value)));
        return line.toString();
    }
}
