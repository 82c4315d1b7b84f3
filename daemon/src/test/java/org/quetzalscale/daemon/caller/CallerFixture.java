package org.quetzalscale.daemon.caller;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.target.TargetClient;
import org.quetzalscale.daemon.target.TargetLimits;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpReply;

/** Runs a caller server with fake admission and intents and with scripted targets. */
final class CallerFixture implements AutoCloseable {
    private static final KeySecret SECRET =
            KeySecret.of(new KeyId("lab"), new byte[KeySecret.RANDOM_BYTES]);

    static final String KEY = "Authorization: Bearer " + SECRET.reveal() + "\r\n";
    static final int QUEUE_TIMEOUT_MILLIS = 5_000;
    static final int BRIEF_TIMEOUT_MILLIS = 300;

    /** Limits with short timeouts and the default sizes. */
    static final CallerLimits LIMITS =
            new CallerLimits(64, 16 << 10, 300, 60_000, 64 << 10, 8 << 20, 128 << 20, 50, 500);

    final FakeConfig config = new FakeConfig();
    final FakeAdmissionController admission = new FakeAdmissionController();
    final FakeIntentLog intents = new FakeIntentLog();
    final AtomicLong clockOffsetMillis = new AtomicLong();
    final BlockingQueue<RequestRecord> ended = new LinkedBlockingQueue<>();
    final List<String> closing = new CopyOnWriteArrayList<>();
    final CallerServer server;
    final TargetClient targets;

    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final List<ScriptedTarget> started = new ArrayList<>();

    CallerFixture(CallerLimits limits) {
        TimeSource system = TimeSource.system();
        TimeSource time = () -> system.nowMillis() + clockOffsetMillis.get();
        targets = new TargetClient(time, TargetLimits.defaults(), closing::add);
        server =
                new CallerServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        group,
                        config,
                        admission,
                        intents,
                        time,
                        targets,
                        limits,
                        ended::add,
                        (team, call) ->
                                CompletableFuture.completedFuture(
                                        HttpReply.json(202, team + call.path() + call.query())));
        server.start();
    }

    /** Adds a target; requests go to the first one, and retries to the next. */
    ScriptedTarget target(ScriptedTarget.Script script) {
        return add(new ScriptedTarget(script));
    }

    ScriptedTarget answering(String answer) {
        return add(ScriptedTarget.answering(answer));
    }

    private ScriptedTarget add(ScriptedTarget target) {
        started.add(target);
        admission.addresses.add(target.address());
        return target;
    }

    RawCaller caller() throws IOException {
        return new RawCaller(server.port());
    }

    /** Sends one request on a new connection and reads the answer. */
    RawCaller.Answer call(String request) throws IOException {
        try (RawCaller caller = caller()) {
            return caller.send(request).read();
        }
    }

    static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + KEY + "\r\n";
    }

    static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: x\r\n"
                + KEY
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Override
    public void close() throws IOException {
        server.stop();
        targets.stop();
        for (ScriptedTarget target : started) {
            target.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * A configuration with the queues "assay", "brief" (300 ms) and "open" and a team with keys.
     */
    static final class FakeConfig implements ConfigSource {
        volatile boolean valid = true;
        private volatile ConfigSnapshot snapshot = withKey(false);

        void withdrawKey() {
            snapshot = withKey(true);
        }

        @Override
        public ConfigSnapshot snapshot() {
            return snapshot;
        }

        @Override
        public boolean isValid() {
            return valid;
        }

        private static ConfigSnapshot withKey(boolean withdrawn) {
            Map<Kind, SortedMap<String, Versioned>> all = new EnumMap<>(Kind.class);
            put(all, "agro", new TeamSpec(1, 10));
            put(all, "lab", key(withdrawn));
            put(all, "old", key(true));
            put(all, "assay", queue(false, QUEUE_TIMEOUT_MILLIS));
            put(all, "brief", queue(false, BRIEF_TIMEOUT_MILLIS));
            put(all, "open", queue(true, QUEUE_TIMEOUT_MILLIS));
            return ConfigSnapshot.of(new Revision(1), all);
        }

        private static KeySpec key(boolean withdrawn) {
            return new KeySpec(new TeamId("agro"), SECRET.hash(), withdrawn);
        }

        private static QueueSpec queue(boolean open, int timeoutMillis) {
            Set<String> idempotent = QueueSpec.DEFAULT_IDEMPOTENT_METHODS;
            return new QueueSpec(new PoolId("p"), open, timeoutMillis, 10, idempotent);
        }

        private static void put(
                Map<Kind, SortedMap<String, Versioned>> all, String name, Spec spec) {
            all.computeIfAbsent(spec.kind(), kind -> new TreeMap<>())
                    .put(name, new Versioned(new Revision(1), spec));
        }
    }
}
