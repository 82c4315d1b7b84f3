package org.quetzalscale.ctl.command;

import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.net.EventLoops;

/** Runs command lines against a fake server, in virtual time. */
final class CtlHarness implements AutoCloseable {
    private static final int CALL_TIMEOUT_MILLIS = 1_500;

    private final EventLoopGroup group = EventLoops.create(1, "fake-operator");
    private final AtomicLong nowMillis = new AtomicLong();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Map<String, String> environment = new HashMap<>();
    private final FakeOperator server = new FakeOperator(group);

    CtlHarness() {
        environment.put("QUETZALSCALE_SERVER", server.address());
        environment.put("QUETZALSCALE_TOKEN", "secret-token");
    }

    FakeOperator server() {
        return server;
    }

    Map<String, String> environment() {
        return environment;
    }

    ExitCode run(String... arguments) {
        out.reset();
        err.reset();
        Timing timing = new Timing(nowMillis::get, nowMillis::addAndGet);
        PrintStream printedOut = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream printedErr = new PrintStream(err, true, StandardCharsets.UTF_8);
        return new CtlRunner(environment, printedOut, printedErr, timing, CALL_TIMEOUT_MILLIS)
                .run(arguments);
    }

    String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
