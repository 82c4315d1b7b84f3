package org.quetzalscale.daemon.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * The parsed command line of quetzalscaled: {@code --flag value}, {@code --flag=value}, {@code
 * --print-settings} and {@code --help}.
 */
public record CommandLine(Map<Setting, String> flags, boolean printSettings, boolean help) {
    private static final String PRINT_SETTINGS = "--print-settings";
    private static final String HELP = "--help";

    /** Copies the flags. */
    public CommandLine {
        flags = Map.copyOf(flags);
    }

    /**
     * Parses arguments; values are not validated yet.
     *
     * @throws QuetzalscaleException INVALID_SETTING if a flag is unknown, lacks its value or is
     *     given twice
     */
    public static CommandLine parse(String... arguments) {
        Map<Setting, String> flags = new EnumMap<>(Setting.class);
        boolean printSettings = false;
        boolean help = false;
        for (int i = 0; i < arguments.length; i++) {
            String argument = arguments[i];
            if (argument.equals(PRINT_SETTINGS)) {
                printSettings = true;
                continue;
            }
            if (argument.equals(HELP)) {
                help = true;
                continue;
            }
            int equals = argument.indexOf('=');
            String flag = equals < 0 ? argument : argument.substring(0, equals);
            Setting setting = setting(flag);
            if (equals < 0 && ++i == arguments.length) {
                throw invalid(flag, flag + " requires a value: expected " + setting.allowed());
            }
            String value = equals < 0 ? arguments[i] : argument.substring(equals + 1);
            if (flags.put(setting, value) != null) {
                throw invalid(flag, flag + " is given twice");
            }
        }
        return new CommandLine(flags, printSettings, help);
    }

    /** The text for {@code --help}. */
    public static String helpText() {
        StringBuilder text = new StringBuilder("Usage: quetzalscaled [flags]\n\n");
        for (Setting setting : Setting.values()) {
            text.append("  ")
                    .append(setting.flag())
                    .append(" (")
                    .append(setting.environmentVariable())
                    .append(")\n      ")
                    .append(setting.description())
                    .append(".\n      Allowed: ")
                    .append(setting.allowed())
                    .append(setting.unit().isEmpty() ? "" : " " + setting.unit())
                    .append(". Default: ")
                    .append(setting.defaultValue().isEmpty() ? "empty" : setting.defaultValue())
                    .append(".\n");
        }
        return text.append("  " + PRINT_SETTINGS + "\n      Prints the settings and exits.\n")
                .append("  " + HELP + "\n      Prints this text and exits.\n")
                .toString();
    }

    private static Setting setting(String flag) {
        Optional<Setting> found =
                Stream.of(Setting.values()).filter(s -> s.flag().equals(flag)).findFirst();
        return found.orElseThrow(
                () ->
                        invalid(
                                flag,
                                "\"" + flag + "\" is not a known flag; --help lists all flags"));
    }

    private static QuetzalscaleException invalid(String flag, String message) {
        return new QuetzalscaleException(ErrorKind.INVALID_SETTING, flag, message);
    }
}
