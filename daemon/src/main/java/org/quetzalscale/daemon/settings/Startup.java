package org.quetzalscale.daemon.settings;

import java.io.PrintStream;
import java.util.Map;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * What a command line asks for: to run with settings, or to exit.
 *
 * @param settings the settings to run with, or null to exit
 * @param exitCode the exit code when there are no settings to run with
 */
public record Startup(Settings settings, int exitCode) {
    /** Exit code for a bad flag or environment variable. */
    public static final int EXIT_USAGE = 2;

    private static final int EXIT_DONE = 0;

    /**
     * Reads settings, and handles {@code --help} and {@code --print-settings}.
     *
     * @param out receives what these two flags print
     * @param err receives the message about a bad setting
     */
    public static Startup of(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        try {
            CommandLine line = CommandLine.parse(arguments);
            if (line.help()) {
                out.print(CommandLine.helpText());
                return new Startup(null, EXIT_DONE);
            }
            Settings settings = Settings.of(line.flags(), environment);
            if (line.printSettings()) {
                out.print(settings.masked());
                return new Startup(null, EXIT_DONE);
            }
            return new Startup(settings, EXIT_DONE);
        } catch (QuetzalscaleException e) {
            err.println("quetzalscaled: " + e.getMessage());
            return new Startup(null, EXIT_USAGE);
        }
    }
}
