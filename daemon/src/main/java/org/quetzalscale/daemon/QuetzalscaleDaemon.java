package org.quetzalscale.daemon;

import org.quetzalscale.daemon.logging.Logs;
import org.quetzalscale.daemon.settings.Startup;

/** Entry point of quetzalscaled. */
public final class QuetzalscaleDaemon {
    private QuetzalscaleDaemon() {}

    /** Runs the program until it is told to stop. */
    public static void main(String[] args) throws InterruptedException {
        Startup startup = Startup.of(args, System.getenv(), System.out, System.err);
        if (startup.settings() == null) {
            System.exit(startup.exitCode());
        }
        Logs.configure(startup.settings());
        Daemon daemon = new Daemon(startup.settings());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        daemon.start();
        System.out.println("listening caller " + daemon.callerPort());
        System.out.println("listening operator " + daemon.operatorPort());
        System.out.flush();
        daemon.awaitStop();
    }

    /** Without halt, the exit code after SIGTERM would be 143, as if the stop had failed. */
    private static void stop(Daemon daemon) {
        daemon.stop();
        Runtime.getRuntime().halt(0);
    }
}
