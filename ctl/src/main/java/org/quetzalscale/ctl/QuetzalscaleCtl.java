package org.quetzalscale.ctl;

import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.ctl.command.CtlRunner;

/** Entry point of quetzalctl. */
public final class QuetzalscaleCtl {
    // A server answers a write after up to 10 s, when not every instance has confirmed it.
    private static final int CALL_TIMEOUT_MILLIS = 15_000;

    private QuetzalscaleCtl() {}

    /** Runs the program. */
    public static void main(String[] args) {
        CtlRunner runner =
                new CtlRunner(
                        System.getenv(),
                        System.out,
                        System.err,
                        Timing.system(),
                        CALL_TIMEOUT_MILLIS);
        System.exit(runner.run(args).value());
    }
}
