package org.quetzalscale.daemon.logging;

import org.quetzalscale.daemon.settings.Settings;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/** Configures tinylog from the log settings. */
public final class Logs {
    private Logs() {}

    /** Sets level and format as {@link #configure(Settings)} does, and logs to standard output. */
    public static void toStandardOutput(String level, String format) {
        Configuration.set("level", level);
        Configuration.set("writer", "structured");
        Configuration.set("writer.layout", format);
        Configuration.set("writer.stream", "stdout");
    }

    /** Writes the queued lines and shuts logging down; call it when the process is about to end. */
    public static void flush() throws InterruptedException {
        ProviderRegistry.getLoggingProvider().shutdown();
    }

    /** Sets level and format; has an effect only before the first log entry of the process. */
    public static void configure(Settings settings) {
        Configuration.set("level", settings.logLevel());
        Configuration.set("writer", "structured");
        Configuration.set("writer.layout", settings.logFormat());
    }
}
