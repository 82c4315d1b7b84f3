package org.quetzalscale.ctl.client;

import java.util.Objects;
import java.util.function.LongConsumer;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/**
 * The clock and the pauses between attempts, replaced by virtual time in tests.
 *
 * @param pause waits for a number of milliseconds
 */
public record Timing(TimeSource time, LongConsumer pause) {
    /** Requires both parts. */
    public Timing {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(pause, "pause");
    }

    /** Real time. */
    public static Timing system() {
        return new Timing(TimeSource.system(), Timing::sleep);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlException(ExitCode.UNREACHABLE, "interrupted");
        }
    }
}
