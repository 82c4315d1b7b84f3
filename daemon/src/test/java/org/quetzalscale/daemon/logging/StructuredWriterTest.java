package org.quetzalscale.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.net.json.Json;
import org.tinylog.Level;
import org.tinylog.configuration.ServiceLoader;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.runtime.RuntimeProvider;
import org.tinylog.writers.Writer;

class StructuredWriterTest {
    private static final String MESSAGE = "peer \"i-2\"\nis gone";

    private static String write(String layout) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        StructuredWriter writer = new StructuredWriter(Map.of("layout", layout), stream);
        writer.write(
                new LogEntry(
                        RuntimeProvider.createTimestamp(),
                        Thread.currentThread(),
                        null,
                        "org.Example",
                        null,
                        null,
                        0,
                        null,
                        Level.WARN,
                        MESSAGE,
                        new IllegalStateException("bad")));
        writer.close();
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /**
     * Guards against an entry that spans several lines, which log collectors read as several
     * entries.
     */
    @ParameterizedTest
    @ValueSource(strings = {"json", "text"})
    void writesOneLineForEachEntry(String layout) {
        assertThat(write(layout).lines()).hasSize(1);
    }

    @Test
    void writesAJsonObject() {
        var tree = Json.readTree(write("json").getBytes(StandardCharsets.UTF_8));
        assertThat(tree.path("message").asText()).isEqualTo(MESSAGE);
        assertThat(tree.path("level").asText()).isEqualTo("warn");
        assertThat(tree.path("exception").asText()).contains("IllegalStateException: bad");
    }

    @Test
    void writesPairsWithQuotedValues() {
        assertThat(write("text"))
                .contains("level=\"warn\" class=\"org.Example\"")
                .contains("message=\"peer \\\"i-2\\\"\\nis gone\"");
    }

    @Test
    void isFoundByTinylogUnderItsShortName() {
        Writer found = new ServiceLoader<>(Writer.class, Map.class).create("structured", Map.of());
        assertThat(found).isInstanceOf(StructuredWriter.class);
    }

    /**
     * Guards against fields that stay empty because the writer did not request them from tinylog.
     */
    @Test
    void requestsAllValuesThatItWrites() {
        assertThat(new StructuredWriter(Map.of()).getRequiredLogEntryValues())
                .contains(
                        LogEntryValue.DATE,
                        LogEntryValue.LEVEL,
                        LogEntryValue.CLASS,
                        LogEntryValue.THREAD,
                        LogEntryValue.MESSAGE,
                        LogEntryValue.EXCEPTION);
    }
}
