package org.quetzalscale.standin.target;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.FleetMessages;

/** Registers the worker that a target stands for with the platform stand-in. */
final class WorkerRegistration {
    private static final int CALL_LIMIT_MILLIS = 5000;

    private final InetSocketAddress platform;
    private final String worker;
    private final String zone;
    private final String address;

    /**
     * Creates a registration.
     *
     * @param platform IP number and port of the platform
     * @param address IP number and port of the target
     */
    WorkerRegistration(String platform, String worker, String zone, String address) {
        int colon = platform.lastIndexOf(':');
        if (colon < 1 || !platform.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException(
                    "platform address \"" + platform + "\" is not of the form <ip>:<port>");
        }
        this.platform =
                new InetSocketAddress(
                        platform.substring(0, colon),
                        Integer.parseInt(platform.substring(colon + 1)));
        this.worker = worker;
        this.zone = zone;
        this.address = address;
    }

    /** Registers once; fails if the platform can't be reached or refuses. */
    void register() {
        EventLoopGroup group = EventLoops.create(1, "register");
        JsonHttpClient client = new JsonHttpClient(platform, group, CALL_LIMIT_MILLIS);
        try {
            HttpReply reply =
                    client.send(
                                    HttpCall.of(
                                            HttpMethod.PUT,
                                            "/v1/machines/worker/" + worker,
                                            Json.writeBytes(
                                                    new FleetMessages.Registration(
                                                            zone,
                                                            address,
                                                            ProcessHandle.current().pid()))))
                            .toCompletableFuture()
                            .join();
            if (reply.status() >= 300) {
                throw new IllegalStateException(
                        "the platform refused worker \""
                                + worker
                                + "\": "
                                + new String(reply.body(), StandardCharsets.UTF_8));
            }
        } finally {
            client.stop();
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
