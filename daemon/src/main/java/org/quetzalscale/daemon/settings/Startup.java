package org.quetzalscale.daemon.settings;

import java.io.PrintStream;
import java.util.Map;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * The result of parsing the command line: the settings to run with, or an exit code.
 *
 * @param settings the settings to run with, or null to exit
 * @param exitCode the exit code if {@code settings} is null
 */
public record Startup(Settings settings, int exitCode) {
    /** Exit code for an invalid flag or environment variable. */
    public static final int EXIT_USAGE = 2;

    private static final int EXIT_SUCCESS = 0;

    /**
     * Reads the settings and handles {@code --help} and {@code --print-settings}.
     *
     * @param out receives the output of these two flags
     * @param err receives the error message about an invalid setting
     */
    public static Startup of(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        try {
            CommandLine line = CommandLine.parse(arguments);
            if (line.help()) {
                out.print(CommandLine.helpText());
                return new Startup(null, EXIT_SUCCESS);
            }
            Settings settings = Settings.of(line.flags(), environment);
            if (line.printSettings()) {
                out.print(settings.masked());
                return new Startup(null, EXIT_SUCCESS);
            }
            return new Startup(settings, EXIT_SUCCESS);
        } catch (QuetzalscaleException e) {
            err.println("quetzalscaled: " + e.getMessage());
            return new Startup(null, EXIT_USAGE);
        }
    }
}
