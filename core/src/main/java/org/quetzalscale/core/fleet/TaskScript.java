package org.quetzalscale.core.fleet;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a simulated task does, read from the text of its command.
 *
 * <p>The forms are {@code run 500ms}, {@code fail [200ms]} and {@code hang}, each optionally
 * followed by {@code cores <n>} and {@code mem <MiB>} for the use that differs from the declared
 * one. Any other command fails at once.
 *
 * @param runMillis time it takes without a throttle, in ms; {@link #ENDLESS} if it never ends
 * @param failure why it fails at its end, or empty if it succeeds
 * @param cores processors that it uses, or {@link #AS_DECLARED}
 * @param memoryMib memory that it uses, in MiB, or {@link #AS_DECLARED}
 */
public record TaskScript(long runMillis, String failure, int cores, int memoryMib) {
    /** Run time of a task that ends only when it is stopped or its lease runs out. */
    public static final long ENDLESS = Long.MAX_VALUE;

    /** Stands for the size that the task declares. */
    public static final int AS_DECLARED = -1;

    private static final long DEFAULT_RUN_MILLIS = 100;
    private static final Pattern FORM =
            Pattern.compile(
                    "(run|fail|hang)(?: (\\d{1,9})(ms|s))?(?: cores (\\d{1,6}))?"
                            + "(?: mem (\\d{1,9}))?");

    /** Reads a command; never fails, since a platform learns only by running it. */
    public static TaskScript parse(String command) {
        Matcher matcher = FORM.matcher(command.trim().toLowerCase(Locale.ROOT));
        if (!matcher.matches()) {
            return new TaskScript(
                    0, "command not found: " + command.trim(), AS_DECLARED, AS_DECLARED);
        }
        int cores = size(matcher.group(4));
        int memoryMib = size(matcher.group(5));
        return switch (matcher.group(1)) {
            case "hang" -> new TaskScript(ENDLESS, "", cores, memoryMib);
            case "fail" -> new TaskScript(duration(matcher, 0), "exit code 1", cores, memoryMib);
            default -> new TaskScript(duration(matcher, DEFAULT_RUN_MILLIS), "", cores, memoryMib);
        };
    }

    private static long duration(Matcher matcher, long defaultMillis) {
        if (matcher.group(2) == null) {
            return defaultMillis;
        }
        long value = Long.parseLong(matcher.group(2));
        return matcher.group(3).equals("s") ? value * 1000 : value;
    }

    private static int size(String text) {
        return text == null ? AS_DECLARED : Integer.parseInt(text);
    }
}
