package org.quetzalscale.standin.target;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.quetzalscale.standin.Foreground;

/** Serves a target stand-in until the process is ended. */
@Command(name = "target", description = "Serves a target stand-in")
public final class TargetCommand implements Runnable {
    private static final TargetOptions DEFAULTS = TargetOptions.defaults();

    @Option(name = "--name", description = "Name of the worker that the target runs on")
    private String name = DEFAULTS.name();

    @Option(name = "--host", description = "IP number to listen on")
    private String host = DEFAULTS.host();

    @Option(name = "--port", description = "Port for requests; 0 for any")
    private int port = DEFAULTS.port();

    @Option(name = "--control-port", description = "Port for commands; 0 for any")
    private int controlPort = DEFAULTS.controlPort();

    @Option(name = "--slots", description = "Requests that run at once")
    private int slots = DEFAULTS.slots();

    @Option(name = "--connections", description = "Connections that are kept at once")
    private int connections = DEFAULTS.connections();

    @Option(
            name = "--platform",
            description = "IP number and port of the platform to register the worker with")
    private String platform = "";

    @Option(name = "--zone", description = "Availability zone for the registration")
    private String zone = "zone-1";

    @Override
    public void run() {
        TargetServer server =
                new TargetServer(
                        new TargetOptions(name, host, port, controlPort, slots, connections));
        server.start();
        if (!platform.isEmpty()) {
            new WorkerRegistration(platform, name, zone, host + ":" + server.port()).register();
        }
        Foreground.announce("target", server.port());
        Foreground.announce("target-control", server.controlPort());
        Foreground.await(server::stop);
    }
}
