package org.quetzalscale.acceptance.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.platform.Platform;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.standin.platform.FaultMode;
import org.quetzalscale.standin.platform.FaultRule;
import org.quetzalscale.standin.platform.MachineRegistry;
import org.quetzalscale.standin.platform.PlatformOptions;
import org.quetzalscale.standin.platform.PlatformServer;
import org.quetzalscale.standin.platform.ProcessProbe;

/** The adapter of the daemon against the stand-in: what each port promises, also under faults. */
class PlatformContractTest {
    private static final long LEASE_MILLIS = 60_000;
    private static final int WARM_UP_CALLS = 10;
    private static final RowKey KEY = RowKey.of("limit", "team a/ü?&");
    private static final Transaction INSERT = Transaction.builder().insert(KEY, "1").build();
    private static final Member SELF =
            new Member(
                    "entry-1",
                    MemberRole.ENTRY,
                    new ZoneId("zone-1"),
                    "127.0.0.1:7000",
                    MemberState.LIVE);
    private static final TaskSpec HANG = new TaskSpec("hang", 2, 100, 0, "");

    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final PlatformServer server =
            new PlatformServer(new PlatformOptions("127.0.0.1", 0, 0, 0, 0));
    private Platform platform;

    @BeforeEach
    void start() {
        server.start();
        platform = Platform.connect(new InetSocketAddress("127.0.0.1", server.port()), group, SELF);
        warmUp();
    }

    /** The first calls of a process can take over the time limit of 1 s on a busy machine. */
    private void warmUp() {
        boolean answered = false;
        for (int i = 0; i < WARM_UP_CALLS && !answered; i++) {
            answered =
                    await(
                            platform.table()
                                    .commit(Transaction.builder().build())
                                    .handle((result, failure) -> failure == null));
        }
        assertThat(answered).as("the stand-in answers").isTrue();
    }

    @AfterEach
    void stop() {
        await(platform.stop());
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static ErrorKind kindOf(CompletionStage<?> stage) {
        Throwable failure = catchThrowable(() -> await(stage));
        assertThat(failure).as("failure").isNotNull();
        return QuetzalscaleException.from(failure).kind();
    }

    private void fault(String part, FaultMode mode) {
        server.setFaults(part, List.of(FaultRule.always(mode)));
    }

    @Nested
    class Table {
        @Test
        void commitsOnceAndReportsTheConditionThatFailed() {
            CommitResult first = await(platform.table().commit(INSERT));
            assertThat(first.isCommitted()).isTrue();
            assertThat(await(platform.table().commit(INSERT)))
                    .isEqualTo(CommitResult.conflict(KEY));
            assertThat(await(platform.table().read(KEY)))
                    .contains(new Row(KEY, first.version(), "1"));
            assertThat(await(platform.table().scan("limit/"))).hasSize(1);
            assertThat(await(platform.table().read(RowKey.of("limit", "b")))).isEmpty();
        }

        @Test
        void isUnavailableWhenThePlatformRefuses() {
            fault("table", FaultMode.DOWN);
            assertThat(kindOf(platform.table().commit(INSERT)))
                    .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            assertThat(kindOf(platform.table().read(KEY))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        }

        @Test
        void saysUnknownWhenTheAnswerOfACommitWasLost() {
            fault("table", FaultMode.LOSE_ANSWER);
            assertThat(kindOf(platform.table().commit(INSERT)))
                    .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
            assertThat(kindOf(platform.table().read(KEY))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            server.setFaults("table", List.of());
            assertThat(await(platform.table().read(KEY))).isPresent();
        }

        @Test
        void isUnavailableWhenNothingListens() {
            server.stop();
            assertThat(kindOf(platform.table().commit(INSERT)))
                    .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        }
    }

    @Nested
    class Objects {
        @Test
        void keepsBytesUnderNamesWithAnyCharacters() {
            byte[] content = {0, 1, (byte) 0xff};
            await(platform.objects().put("outcome/a b/ü", content));
            assertThat(await(platform.objects().get("outcome/a b/ü")).orElseThrow())
                    .isEqualTo(content);
            assertThat(await(platform.objects().get("outcome/none"))).isEqualTo(Optional.empty());
            assertThat(await(platform.objects().list("outcome/"))).containsExactly("outcome/a b/ü");
        }
    }

    @Nested
    class Directory {
        private List<MemberState> states() {
            return await(platform.directory().list(MemberRole.ENTRY)).stream()
                    .map(Member::state)
                    .toList();
        }

        @Test
        void showsThisInstanceFromItsStartToItsLeaving() {
            assertThat(states()).isEmpty();
            await(platform.start());
            assertThat(states()).containsExactly(MemberState.LIVE);
            await(platform.leave());
            assertThat(states()).containsExactly(MemberState.LEAVING);
        }

        @Test
        void staysAsItIsWhileFrozen() {
            await(platform.start());
            assertThat(states()).containsExactly(MemberState.LIVE);
            fault("machines", FaultMode.FREEZE);
            await(platform.leave());
            assertThat(states()).containsExactly(MemberState.LIVE);
        }
    }

    @Nested
    class Tasks {
        private final TaskId task = new TaskId("job-1");
        private final WorkerId worker = new WorkerId("entry-1");

        private Platform worker() {
            Member self =
                    new Member(
                            worker.value(),
                            MemberRole.WORKER,
                            SELF.zone(),
                            "127.0.0.1:1",
                            MemberState.LIVE);
            Platform registered =
                    Platform.connect(
                            new InetSocketAddress("127.0.0.1", server.port()), group, self);
            await(registered.start());
            return registered;
        }

        private TaskReport startHanging() {
            return await(platform.tasks().start(task, worker, HANG, LEASE_MILLIS));
        }

        @Test
        void startsOnceUnderOneIdentifierAlsoWhenTheAnswerWasLost() {
            worker();
            fault("tasks", FaultMode.LOSE_ANSWER);
            assertThat(kindOf(platform.tasks().start(task, worker, HANG, LEASE_MILLIS)))
                    .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
            server.setFaults("tasks", List.of());
            assertThat(startHanging().runMillis()).isPositive();
        }

        @Test
        void controlsARunningTask() {
            worker();
            assertThat(startHanging().state()).isEqualTo(TaskState.RUNNING);
            assertThat(await(platform.tasks().renew(task, LEASE_MILLIS)).state())
                    .isEqualTo(TaskState.RUNNING);
            await(platform.tasks().throttle(task, 50));
            assertThat(await(platform.tasks().checkpoint(task)).checkpoint()).isNotEmpty();
            assertThat(await(platform.tasks().stop(task, true)).state())
                    .isEqualTo(TaskState.STOPPED);
            assertThat(await(platform.tasks().report(task)).orElseThrow().state())
                    .isEqualTo(TaskState.STOPPED);
        }

        @Test
        void refusesWhatNeverStartedOrNeverRegistered() {
            assertThat(await(platform.tasks().report(task))).isEmpty();
            assertThat(kindOf(platform.tasks().renew(task, LEASE_MILLIS)))
                    .isEqualTo(ErrorKind.RESOURCE_UNKNOWN);
            assertThat(kindOf(platform.tasks().start(task, worker, HANG, LEASE_MILLIS)))
                    .isEqualTo(ErrorKind.RESOURCE_UNKNOWN);
        }
    }

    @Nested
    class Faults {
        private void put(String path, String body) {
            JsonHttpClient operator =
                    new JsonHttpClient(
                            new InetSocketAddress("127.0.0.1", server.port()), group, 10_000);
            HttpReply reply =
                    await(operator.send(HttpCall.of(HttpMethod.PUT, path, body.getBytes())));
            assertThat(reply.status()).isEqualTo(204);
        }

        @Test
        void hitOnlyTheCallsThatTheRuleNames() {
            put(
                    "/v1/faults/table",
                    """
                    {"rules":[{"mode":"DOWN","calls":1,"match":"limit"},
                              {"mode":"DOWN","caller":"entry-2"}]}""");
            assertThat(await(platform.table().read(RowKey.of("other")))).isEmpty();
            assertThat(kindOf(platform.table().read(KEY))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            assertThat(await(platform.table().read(KEY))).isEmpty();
        }

        @Test
        void delayTheAnswerOfASlowCommitBeyondItsTimeLimitButNotItsEffect() {
            put(
                    "/v1/faults/table",
                    "{\"rules\":[{\"mode\":\"SLOW\",\"delayMillis\":1500,\"calls\":1}]}");
            assertThat(kindOf(platform.table().commit(INSERT)))
                    .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
            assertThat(await(platform.table().read(KEY))).isPresent();
        }

        @Test
        void failEveryTaskOfOneWorker() {
            put(
                    "/v1/machines/worker/w1",
                    "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"processId\":0}");
            put("/v1/faults/workers/w1", "");
            TaskId task = new TaskId("job-1");
            await(platform.tasks().start(task, new WorkerId("w1"), HANG, LEASE_MILLIS));
            assertThat(await(platform.tasks().report(task)).orElseThrow().state())
                    .isEqualTo(TaskState.FAILED);
        }
    }

    @Nested
    class Processes {
        private static final int CHILD_SECONDS = 60;

        private void signal(String name, Process process) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Guards against freeing what a paused process still holds. */
        @Test
        void arePausedWithoutBeingGoneAndGoneWhenKilled() throws Exception {
            Process child = new ProcessBuilder("sleep", String.valueOf(CHILD_SECONDS)).start();
            MachineRegistry registry =
                    new MachineRegistry(TimeSource.system(), ProcessProbe.system(), 0, 0);
            try {
                registry.register(SELF, child.pid());
                signal("STOP", child);
                assertThat(registry.detectGone()).isEmpty();
            } finally {
                child.destroyForcibly().waitFor();
            }
            assertThat(registry.detectGone()).hasSize(1);
        }
    }
}
