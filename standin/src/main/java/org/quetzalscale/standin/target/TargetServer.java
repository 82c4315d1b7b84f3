package org.quetzalscale.standin.target;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.TcpListeners;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpServer;
import org.quetzalscale.net.json.Json;

/** A target stand-in: one port for requests and one for commands and the execution log. */
public final class TargetServer {
    private static final int THREADS = 2;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEADERS_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;
    private static final int MAX_COMMAND_BYTES = 64 * 1024;
    private static final HttpReply NO_CONTENT = HttpReply.text(204, "text/plain", new byte[0]);

    private final EventLoopGroup group = EventLoops.create(THREADS, "target");
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup silent = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final TargetOptions options;
    private final TargetState state;
    private final JsonHttpServer control;
    private Channel listener;

    /** Creates a target that does not listen yet. */
    public TargetServer(TargetOptions options) {
        this.options = options;
        this.state = new TargetState(options.name(), options.slots());
        this.control =
                new JsonHttpServer(
                        new InetSocketAddress(options.host(), options.controlPort()),
                        group,
                        MAX_COMMAND_BYTES,
                        this::command);
    }

    /** Listens on both ports. */
    public void start() {
        listener =
                TcpListeners.listen(
                        group,
                        new InetSocketAddress(options.host(), options.port()),
                        false,
                        this::initialize);
        control.start();
    }

    /** The port for requests. */
    public int port() {
        return TcpListeners.port(listener);
    }

    /** The port for commands. */
    public int controlPort() {
        return control.port();
    }

    /** Closes both ports and all connections. May be repeated. */
    public void stop() {
        if (group.isShuttingDown()) {
            return;
        }
        listener.close().syncUninterruptibly();
        open.close().awaitUninterruptibly();
        silent.close().awaitUninterruptibly();
        control.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Changes the behavior for all requests from now on. */
    public void behave(TargetBehavior behavior) {
        state.behave(behavior);
    }

    /** Makes all connections that are open now silent for good; new ones work. */
    public void silenceOpenConnections() {
        for (Channel channel : open) {
            open.remove(channel);
            silent.add(channel);
            channel.eventLoop()
                    .execute(() -> channel.pipeline().get(TargetConnection.class).goSilent());
        }
    }

    /** What ran. */
    public ExecutionLog log() {
        return state.log();
    }

    /** Requests that hold a slot now. */
    public int running() {
        return state.running();
    }

    private void initialize(SocketChannel channel) {
        if (open.size() >= options.connections()) {
            channel.close();
            return;
        }
        open.add(channel);
        channel.pipeline()
                .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADERS_BYTES, MAX_CHUNK_BYTES))
                .addLast(new TargetConnection(state));
    }

    /** GET /v1/executions[?details=true], PUT /v1/behavior, POST /v1/silence. */
    private CompletionStage<HttpReply> command(HttpCall call) {
        return CompletableFuture.completedFuture(
                switch (call.method() + " " + call.path()) {
                    case "GET /v1/executions" ->
                            HttpReply.json(
                                    200,
                                    state.log()
                                            .report(
                                                    call.parameter("details")
                                                            .filter("true"::equals)
                                                            .isPresent()));
                    case "GET /v1/behavior" -> HttpReply.json(200, state.behavior());
                    case "PUT /v1/behavior" -> {
                        state.behave(Json.read(call.body(), TargetBehavior.class));
                        yield NO_CONTENT;
                    }
                    case "POST /v1/silence" -> {
                        silenceOpenConnections();
                        yield NO_CONTENT;
                    }
                    default -> throw unknownCommand(call);
                });
    }

    private static QuetzalscaleException unknownCommand(HttpCall call) {
        boolean known = call.path().equals("/v1/behavior") || call.path().equals("/v1/silence");
        return new QuetzalscaleException(
                known ? ErrorKind.METHOD_NOT_ALLOWED : ErrorKind.RESOURCE_UNKNOWN,
                "no command " + call.method() + " " + call.path());
    }
}
