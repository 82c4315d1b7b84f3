package org.quetzalscale.core.fleet;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The behaviour of a simulated task, parsed from its command.
 *
 * <p>The forms are {@code run 500ms}, {@code fail [200ms]} and {@code hang}, each optionally
 * followed by {@code cores <n>} and {@code mem <MiB>} for a use that differs from the declared one.
 * Any other command fails at once.
 *
 * @param runMillis run time without a throttle, in ms; {@link #ENDLESS} if it never ends
 * @param failure why it fails at its end, or empty if it succeeds
 * @param cores CPU cores that it uses, or {@link #AS_DECLARED}
 * @param memoryMib memory that it uses, in MiB, or {@link #AS_DECLARED}
 */
public record TaskScript(long runMillis, String failure, int cores, int memoryMib) {
    /** Run time of a task that ends only when it is stopped or its lease expires. */
    public static final long ENDLESS = Long.MAX_VALUE;

    /** Marks a size that is equal to the one that the task declares. */
    public static final int AS_DECLARED = -1;

    private static final long DEFAULT_RUN_MILLIS = 100;
    private static final Pattern COMMAND_PATTERN =
            Pattern.compile(
                    "(run|fail|hang)(?: (\\d{1,9})(ms|s))?(?: cores (\\d{1,6}))?"
                            + "(?: mem (\\d{1,9}))?");

    /** Parses a command; an invalid one gives a task that fails, as it would on a real platform. */
    public static TaskScript parse(String command) {
        Matcher matcher = COMMAND_PATTERN.matcher(command.trim().toLowerCase(Locale.ROOT));
        if (!matcher.matches()) {
            return new TaskScript(
                    0, "command not found: " + command.trim(), AS_DECLARED, AS_DECLARED);
        }
        int cores = parseSize(matcher.group(4));
        int memoryMib = parseSize(matcher.group(5));
        return switch (matcher.group(1)) {
            case "hang" -> new TaskScript(ENDLESS, "", cores, memoryMib);
            case "fail" -> new TaskScript(parseMillis(matcher, 0), "exit code 1", cores, memoryMib);
            default ->
                    new TaskScript(parseMillis(matcher, DEFAULT_RUN_MILLIS), "", cores, memoryMib);
        };
    }

    private static long parseMillis(Matcher matcher, long defaultMillis) {
        if (matcher.group(2) == null) {
            return defaultMillis;
        }
        long value = Long.parseLong(matcher.group(2));
        return matcher.group(3).equals("s") ? value * 1000 : value;
    }

    private static int parseSize(String text) {
        return text == null ? AS_DECLARED : Integer.parseInt(text);
    }
}
