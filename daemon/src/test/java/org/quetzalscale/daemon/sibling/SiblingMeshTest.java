package org.quetzalscale.daemon.sibling;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.config.ResourceEdit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.route.InstanceLoad;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.WriteResult;
import org.quetzalscale.net.EventLoops;

class SiblingMeshTest {
    private static final long TIMEOUT_MILLIS = 15_000;

    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final InterruptibleTable table = new InterruptibleTable();
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final List<Instance> instances = new ArrayList<>();

    /** A table that can be made unavailable. */
    private static final class InterruptibleTable implements TransactionalTable {
        private final InMemoryTable rows = new InMemoryTable();
        private volatile boolean unavailable;

        private <T> CompletionStage<T> unlessUnavailable(CompletionStage<T> result) {
            return unavailable
                    ? CompletableFuture.failedFuture(
                            new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "down"))
                    : result;
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return unlessUnavailable(rows.read(key));
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return unlessUnavailable(rows.scan(prefix));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return unavailable ? unlessUnavailable(null) : rows.commit(transaction);
        }
    }

    private final class Instance {
        private final BlockingQueue<InstanceLoad> loads = new LinkedBlockingQueue<>();
        private final ConfigService config;
        private final SiblingMesh mesh;
        private boolean running = true;
        private volatile InstanceLoad load = InstanceLoad.NONE;

        private Instance(String name) {
            this(name, true);
        }

        private Instance(String name, boolean listed) {
            config =
                    new ConfigService(
                            new InstanceId(name),
                            table,
                            new InMemoryObjectStore(),
                            TimeSource.system());
            mesh =
                    new SiblingMesh(
                            new InetSocketAddress("127.0.0.1", 0),
                            "",
                            group,
                            config,
                            role -> CompletableFuture.completedFuture(List.copyOf(members)),
                            new SiblingHooks(
                                    () -> load,
                                    (sibling, reported) -> loads.add(reported),
                                    () -> {}),
                            TimeSource.system());
            config.connect(mesh);
            mesh.start();
            if (listed) {
                members.add(
                        new Member(
                                name,
                                MemberRole.ENTRY,
                                new ZoneId("z1"),
                                "127.0.0.1:" + mesh.port(),
                                MemberState.LIVE));
            }
            config.start();
            instances.add(this);
        }

        private WriteResult write(int teams) throws Exception {
            List<ResourceEdit> edits =
                    IntStream.range(0, teams)
                            .mapToObj(i -> ResourceEdit.create("t" + i, new TeamSpec(1, i)))
                            .toList();
            return config.write(new ConfigWrite(edits, Transaction.builder().build()))
                    .toCompletableFuture()
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private long revision() {
            return config.snapshot().revision().value();
        }

        private void stop() {
            if (running) {
                running = false;
                mesh.stop();
                config.stop();
            }
        }
    }

    @BeforeEach
    void start() {
        new Instance("e1");
        new Instance("e2");
        await(() -> instances.stream().allMatch(each -> each.config.known().size() == 1));
        await(() -> instances.stream().allMatch(each -> each.config.isValid()));
    }

    @AfterEach
    void stop() {
        instances.forEach(Instance::stop);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @Nested
    class Changes {
        @Test
        void areInForceWhenAllConfirmed() throws Exception {
            WriteResult result = instances.get(0).write(1);
            assertThat(result.inForce()).isTrue();
            assertThat(instances.get(1).revision()).isEqualTo(1);
        }

        // The kernel accepts the connection, but no process responds on it, as with a frozen
        // process.
        @Test
        void arePendingForAnUnresponsiveInstance() throws Exception {
            try (ServerSocket silent =
                    new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
                members.add(
                        new Member(
                                "e9",
                                MemberRole.ENTRY,
                                new ZoneId("z1"),
                                "127.0.0.1:" + silent.getLocalPort(),
                                MemberState.LIVE));
                await(() -> instances.get(0).config.known().size() == 2);
                WriteResult result = instances.get(0).write(1);
                assertThat(result.pending()).containsExactly(new InstanceId("e9"));
            }
        }

        @Test
        void doNotWaitForAnInstanceWhoseProcessEnded() throws Exception {
            instances.get(1).stop();
            assertThat(instances.get(0).write(1).inForce()).isTrue();
        }

        // The list still has the address of the previous process, which refuses connections.
        @Test
        void reachAnInstanceThatRestartedAtAnotherAddress() throws Exception {
            instances.get(1).stop();
            Instance moved = new Instance("e2", false);
            await(moved.config::isValid);
            assertThat(instances.get(0).write(1).inForce()).isTrue();
            assertThat(moved.revision()).isEqualTo(1);
        }

        @Test
        void reachANewInstanceWhileTheTableIsUnavailable() throws Exception {
            instances.get(0).write(1);
            table.unavailable = true;
            Instance third = new Instance("e3");
            await(third.config::isValid);
            assertThat(third.revision()).isEqualTo(1);
        }

        // The snapshot of this many resources takes more than one frame.
        @Test
        void reachANewInstanceAsASnapshotIfThereAreMany() throws Exception {
            instances.get(0).write(5_000);
            table.unavailable = true;
            Instance third = new Instance("e3");
            await(third.config::isValid);
            assertThat(third.config.snapshot().all(Kind.TEAMS)).hasSize(5_000);
        }
    }

    @Nested
    class Loads {
        @Test
        void areReportedWhenTheyChange() {
            InstanceLoad load =
                    new InstanceLoad(Map.of(new WorkerId("w1"), 5), Map.of(new PoolId("p1"), 6));
            instances.get(0).load = load;
            await(() -> instances.get(1).loads.contains(load));
        }
    }

    @Nested
    class Frames {
        // A length over 1 MiB, an unknown type, a ping before the hello.
        @ParameterizedTest
        @ValueSource(strings = {"7fffffff", "00000002" + "9163", "00000003" + "920301"})
        void closeTheirConnectionAndChangeNothingIfMalformed(String hex) throws IOException {
            Instance instance = instances.get(0);
            try (Socket socket = new Socket("127.0.0.1", instance.mesh.port())) {
                socket.setSoTimeout((int) TIMEOUT_MILLIS);
                socket.getOutputStream().write(java.util.HexFormat.of().parseHex(hex));
                InputStream input = socket.getInputStream();
                assertThat(input.read()).isEqualTo(-1);
            }
            assertThat(instance.revision()).isZero();
            assertThat(instance.config.known()).containsExactly(new InstanceId("e2"));
        }
    }
}
