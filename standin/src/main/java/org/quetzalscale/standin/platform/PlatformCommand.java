package org.quetzalscale.standin.platform;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.quetzalscale.standin.Foreground;

/** Serves the platform stand-in until the process is ended. */
@Command(name = "platform", description = "Serves the platform stand-in")
public final class PlatformCommand implements Runnable {
    private static final PlatformOptions DEFAULTS = PlatformOptions.defaults();

    @Option(name = "--host", description = "IP number to listen on")
    private String host = DEFAULTS.host();

    @Option(name = "--port", description = "Port to listen on; 0 for any")
    private int port = DEFAULTS.port();

    @Option(name = "--list-lag-ms", description = "Lag of the list of machines, in ms")
    private long listLagMillis = DEFAULTS.listLagMillis();

    @Option(
            name = "--gone-after-ms",
            description = "Time from the end of a process until its machine is GONE, in ms")
    private long goneAfterMillis = DEFAULTS.goneAfterMillis();

    @Option(name = "--usage-period-ms", description = "Time between two usage reports, in ms")
    private long usagePeriodMillis = DEFAULTS.usagePeriodMillis();

    @Override
    public void run() {
        PlatformServer server =
                new PlatformServer(
                        new PlatformOptions(
                                host, port, listLagMillis, goneAfterMillis, usagePeriodMillis));
        server.start();
        Foreground.announce("platform", server.port());
        Foreground.await(server::stop);
    }
}
