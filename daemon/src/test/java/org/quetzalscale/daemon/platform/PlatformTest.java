package org.quetzalscale.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpServer;

class PlatformTest {
    private static final int WARM_UP_CALLS = 10;
    private static final RowKey KEY = RowKey.of("limit", "a");
    private static final Member SELF =
            new Member(
                    "entry-1",
                    MemberRole.ENTRY,
                    new ZoneId("zone-1"),
                    "127.0.0.1:7000",
                    MemberState.LIVE);

    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final AtomicInteger calls = new AtomicInteger();
    private volatile HttpReply reply = HttpReply.text(204, "text/plain", new byte[0]);
    private volatile int failingCalls;
    private JsonHttpServer server;
    private Platform platform;

    @BeforeEach
    void start() {
        server =
                new JsonHttpServer(
                        new InetSocketAddress("127.0.0.1", 0), group, 1 << 20, this::answer);
        server.start();
        platform = Platform.connect(new InetSocketAddress("127.0.0.1", server.port()), group, SELF);
        warmUp();
    }

    /** The first calls of a process can take over the time limit of 1 s on a busy machine. */
    private void warmUp() {
        for (int i = 0; i < WARM_UP_CALLS && calls.get() == 0; i++) {
            await(platform.objects().put("warm-up", new byte[0]).handle((done, failure) -> done));
        }
        calls.set(0);
    }

    @AfterEach
    void stop() {
        await(platform.stop());
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private CompletionStage<HttpReply> answer(HttpCall call) {
        if (calls.incrementAndGet() <= failingCalls) {
            throw new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "down");
        }
        return CompletableFuture.completedFuture(reply);
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static ErrorKind kindOf(CompletionStage<?> stage) {
        return QuetzalscaleException.from(catchThrowable(() -> await(stage))).kind();
    }

    @Nested
    class Errors {
        /** Guards against a commit that is reported as not run although it may have run. */
        @ParameterizedTest
        @CsvSource({
            "500, internal,          STORE_OUTCOME_UNKNOWN, STORE_UNAVAILABLE",
            "502, '',                STORE_OUTCOME_UNKNOWN, STORE_UNAVAILABLE",
            "503, '',                STORE_OUTCOME_UNKNOWN, STORE_UNAVAILABLE",
            "503, store_unavailable, STORE_UNAVAILABLE,     STORE_UNAVAILABLE",
            "422, invalid_field,     INVALID_FIELD,         INVALID_FIELD",
            "200, 'not json',        STORE_OUTCOME_UNKNOWN, STORE_UNAVAILABLE",
        })
        void haveTheKindsThatThePortsName(
                int status, String code, ErrorKind ofCommit, ErrorKind ofRead) {
            String body = status == 200 ? code : "{\"error\":{\"code\":\"" + code + "\"}}";
            reply = HttpReply.text(status, "application/json", body.getBytes());
            Transaction transaction = Transaction.builder().insert(KEY, "1").build();
            assertThat(kindOf(platform.table().commit(transaction))).isEqualTo(ofCommit);
            assertThat(kindOf(platform.table().read(KEY))).isEqualTo(ofRead);
        }
    }

    @Nested
    class Start {
        @Test
        void keepsRegisteringUntilThePlatformAnswers() {
            failingCalls = 1;
            await(platform.start());
            assertThat(calls).hasValue(2);
        }

        @Test
        void failsWhenThePlatformRefusesTheName() {
            reply =
                    HttpReply.error(
                            new QuetzalscaleException(ErrorKind.INVALID_STATE, "is gone"), "");
            assertThat(kindOf(platform.start())).isEqualTo(ErrorKind.INVALID_STATE);
        }

        @Test
        void givesUpWhenStoppedFirst() {
            failingCalls = Integer.MAX_VALUE;
            CompletionStage<Void> started = platform.start();
            await(platform.stop());
            assertThat(kindOf(started)).isEqualTo(ErrorKind.SHUTTING_DOWN);
        }
    }

    @Nested
    class Embedded {
        @Test
        void listsOnlyItselfAndKeepsRows() {
            Platform embedded = Platform.embedded(group, SELF, TimeSource.system());
            await(embedded.start());
            await(embedded.table().commit(Transaction.builder().insert(KEY, "1").build()));
            assertThat(await(embedded.table().read(KEY))).isPresent();
            assertThat(await(embedded.directory().list(MemberRole.ENTRY))).containsExactly(SELF);
            assertThat(await(embedded.directory().list(MemberRole.WORKER))).isEqualTo(List.of());
            await(embedded.leave());
            assertThat(await(embedded.directory().list(MemberRole.ENTRY)))
                    .extracting(Member::state)
                    .containsExactly(MemberState.LEAVING);
        }
    }
}
