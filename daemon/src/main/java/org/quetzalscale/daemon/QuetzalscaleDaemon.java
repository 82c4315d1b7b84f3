package org.quetzalscale.daemon;

import org.quetzalscale.daemon.settings.Startup;

/** Entry point of quetzalscaled. */
public final class QuetzalscaleDaemon {
    private QuetzalscaleDaemon() {}

    /** Runs the program. */
    public static void main(String[] args) {
        Startup startup = Startup.of(args, System.getenv(), System.out, System.err);
        System.exit(startup.exitCode());
    }
}
