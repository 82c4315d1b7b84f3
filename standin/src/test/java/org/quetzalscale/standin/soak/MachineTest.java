package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

class MachineTest {
    private static final String START =
            "{'task':'5c0e7a21d94b36f8.0.0.0','runId':1,'deadlineMs':5000,'fence':1,"
                    + "'spec':'millis=5000'}";

    @TempDir private Path folder;
    private final Scheduler scheduler = new Scheduler("test");
    private Timeline timeline;
    private RunRecord record;
    private Machine machine;

    @BeforeEach
    void start() {
        timeline = new Timeline(folder.resolve("timeline.txt"));
        record = new RunRecord(timeline);
        machine = new Machine("m-1", "quick", "zone-a", "r1-1", new Faults(1), scheduler);
        begin("w-1");
    }

    @AfterEach
    void stop() {
        scheduler.stop();
        timeline.stop();
    }

    private void begin(String id) {
        machine.begin(new WorkerLife(id, 1, record, timeline, scheduler));
    }

    private HttpReply startTask() {
        HttpCall call =
                new HttpCall(
                        HttpMethod.POST,
                        "/v1/run-start",
                        Map.of(),
                        Map.of("x-expect-instance", "w-1"),
                        START.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        return machine.handle("node-1", call).toCompletableFuture().join();
    }

    @Nested
    class HeldStarts {
        @BeforeEach
        void hold() {
            machine.holdStarts();
        }

        /** Without them, no soak shows an order that outlives its worker's process. */
        @Test
        void areCarriedOutByTheNextLifeUnderTheId() {
            assertThat(startTask()).isSameAs(WireServer.SILENCE);
            assertThat(record.runs()).isEmpty();
            machine.end();
            begin("w-1");
            assertThat(record.runs()).hasSize(1).allMatch(Run::late);
        }

        /** An order names the worker that it is for. */
        @Test
        void areNotCarriedOutUnderAnotherId() {
            startTask();
            machine.end();
            begin("w-2");
            assertThat(record.runs()).isEmpty();
        }

        @Test
        void endWithTheLife() {
            machine.end();
            begin("w-1");
            assertThat(startTask().status()).isEqualTo(200);
            assertThat(record.runs()).hasSize(1).noneMatch(Run::late);
        }
    }

    @Nested
    class Listings {
        private List<String> stateAndId() {
            return List.of(
                    machine.listing().path("state").asText(),
                    machine.listing().path("id").asText());
        }

        @Test
        void mayBeWrong() {
            machine.showAs(Machine.State.DOWN);
            assertThat(stateAndId()).containsExactly("down", "");
            machine.showAs(null);
            assertThat(stateAndId()).containsExactly("up", "w-1");
        }

        @Test
        void showAnEndedMachineAsDown() {
            machine.end();
            machine.listDownIfEnded();
            assertThat(stateAndId()).containsExactly("down", "");
            begin("w-1");
            assertThat(stateAndId()).containsExactly("up", "w-1");
        }
    }
}
