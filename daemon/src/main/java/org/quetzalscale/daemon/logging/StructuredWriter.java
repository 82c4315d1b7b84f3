package org.quetzalscale.daemon.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.net.json.Json;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry to the standard error stream as one line: a JSON object, or key=value pairs
 * with quoted values. tinylog creates it for {@code writer = structured}.
 */
public final class StructuredWriter implements Writer {
    private static final String TEXT = "text";

    private final boolean text;
    private final PrintStream stream;

    /**
     * Creates a writer.
     *
     * @param properties the properties of the writer; {@code layout} is json or text
     */
    public StructuredWriter(Map<String, String> properties) {
        this(properties, System.err);
    }

    StructuredWriter(Map<String, String> properties, PrintStream stream) {
        this.text = TEXT.equals(properties.get("layout"));
        this.stream = stream;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.THREAD,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("time", String.valueOf(entry.getTimestamp().toInstant()));
        fields.put("level", String.valueOf(entry.getLevel()).toLowerCase(java.util.Locale.ROOT));
        fields.put("class", entry.getClassName());
        fields.put("thread", entry.getThread() == null ? "" : entry.getThread().getName());
        fields.put("message", entry.getMessage() == null ? "" : entry.getMessage());
        if (entry.getException() != null) {
            StringWriter trace = new StringWriter();
            entry.getException().printStackTrace(new PrintWriter(trace));
            fields.put("exception", trace.toString());
        }
        stream.println(text ? pairs(fields) : Json.write(fields));
    }

    @Override
    public void flush() {
        stream.flush();
    }

    @Override
    public void close() {
        stream.flush();
    }

    private static String pairs(Map<String, String> fields) {
        StringBuilder line = new StringBuilder();
        // JSON strings as values, so that line breaks and quotes can't break the line.
        fields.forEach(
                (key, value) ->
                        line.append(line.isEmpty() ? "" : " ")
                                .append(key)
                                .append('=')
                                .append(Json.write(value)));
        return line.toString();
    }
}
