package org.quetzalscale.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.job.Attempt;
import org.quetzalscale.core.job.CancellationBatcher;
import org.quetzalscale.core.job.JobCodecs;
import org.quetzalscale.core.job.JobRow;
import org.quetzalscale.core.job.JobSpec;
import org.quetzalscale.core.job.JobState;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.job.WorkerFault;
import org.quetzalscale.core.limit.Block;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

class JobHandlersTest {
    private static final TeamId TEAM = new TeamId("orchard");

    private final JobStore store = new JobStore(new InMemoryTable(), JobService.codecs());
    private final JobHandlers handlers =
            new JobHandlers(
                    store, new CancellationBatcher(store, () -> 0, 1), () -> 0, () -> 1_000);

    private static HttpReply join(CompletionStage<HttpReply> stage) {
        return stage.toCompletableFuture().join();
    }

    private HttpReply submit(String body) {
        return join(handlers.submit(TEAM, body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String id(HttpReply reply) {
        return Json.readTree(reply.body()).get("id").textValue();
    }

    private static String state(HttpReply reply) {
        return Json.readTree(reply.body()).get("state").textValue();
    }

    @Nested
    class Submission {
        @Test
        void aSubmittedJobCanBeLookedUpAndCancelled() {
            HttpReply submitted = submit("{\"command\":\"trace 7\",\"cores\":4}");
            assertThat(submitted.status()).isEqualTo(201);
            HttpReply found = join(handlers.find(TEAM, id(submitted), Optional.empty()));
            assertThat(state(found)).isEqualTo("QUEUED");
            HttpReply cancelled = join(handlers.cancel(TEAM, id(submitted)));
            assertThat(cancelled.status()).isEqualTo(200);
            assertThat(state(cancelled)).isEqualTo("CANCELLED");
        }

        /** Guards against an internal error for a query without {@code waitMs}. */
        @Test
        void aJobCanBeLookedUpThroughTheRoutesWithoutAWait() {
            String path = "/v1/jobs/" + id(submit("{\"command\":\"trace 7\",\"cores\":4}"));
            JobRoutes routes = new JobRoutes(handlers, () -> {});
            HttpCall call = HttpCall.of(HttpMethod.GET, path, new byte[0]);
            assertThat(state(join(routes.handle(TEAM, call)))).isEqualTo("QUEUED");
        }

        /** Guards against a retried submission that creates a second job. */
        @Test
        void aRepeatedSubmissionKeyReturnsTheSameJob() {
            String body = "{\"command\":\"trace\",\"submissionKey\":\"s-1\",\"deadlineMs\":9000}";
            assertThat(id(submit(body))).isEqualTo(id(submit(body)));
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "{} | command | required",
                    "{'command':'x','cores':-1} | cores | -1",
                    "{'command':'x','cores':'two'} | cores | two",
                    "{'command':'x','memoryMib':1.5} | memoryMib | 1.5",
                    "{'command':'x','slots':0} | slots | 0",
                    "{'command':'x','slots':4294967297} | slots | 4294967297",
                    "{'command':'x','urgent':'yes'} | urgent | yes",
                    "{'command':'x','deadlineMs':-5} | deadlineMs | -5",
                    "{'command':'x','expectedRunMs':0} | expectedRunMs | 0",
                    "{'command':'x','pool':'A b'} | pool | A b",
                    "{'command':'x','submissionKey':''} | submissionKey | 256",
                    "{'command':'x','colour':'red'} | colour | red",
                })
        void anInvalidFieldIsNamedWithItsValue(String body, String field, String expectedText) {
            assertThatThrownBy(() -> submit(body.replace('\'', '"')))
                    .satisfies(
                            thrown -> {
                                QuetzalscaleException e = QuetzalscaleException.from(thrown);
                                assertThat(e.field()).contains(field);
                                assertThat(e.getMessage()).contains(expectedText);
                            });
        }
    }

    @Nested
    class Codecs {
        private <T> void assertRoundTrip(RowCodec<T> codec, T value) {
            assertThat(codec.decode(codec.encode(value))).isEqualTo(value);
        }

        /** Guards against a codec that can't read the rows that it wrote. */
        @Test
        void rowsAreReadAsTheyWereWritten() {
            JobCodecs codecs = JobService.codecs();
            WorkerId worker = new WorkerId("w1");
            JobSpec spec = new JobSpec(TEAM, "p", "run", 1, 2, 3, 4, 5, true, 6, 7, 8);
            assertRoundTrip(
                    codecs.job(),
                    new JobRow(
                            new JobId("a"),
                            spec,
                            JobState.STOPPING,
                            2,
                            "w1",
                            "c1",
                            "why",
                            true,
                            9,
                            10,
                            List.of(new Attempt(1, worker, TaskState.LOST, 11, "gone"))));
            assertRoundTrip(
                    codecs.limit(), new LimitRow(5, Map.of(LimitRow.JOBS, new Block(1, 2))));
            assertRoundTrip(
                    codecs.ledger(),
                    new LedgerEntry(new JobId("a"), 1, TEAM, worker, TaskState.FAILED, 12, 13, 14));
            assertRoundTrip(codecs.workerFault(), new WorkerFault(worker, "fails"));
        }
    }
}
