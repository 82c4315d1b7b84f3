package org.quetzalscale.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.VirtualTime;

class InMemoryTaskRunnerTest {
    private static final long LEASE_MILLIS = 6000;
    private static final long USAGE_PERIOD_MILLIS = 500;
    private static final TaskId TASK = new TaskId("mould-1");
    private static final WorkerId WORKER = new WorkerId("w1");

    private final VirtualTime time = new VirtualTime();
    private final InMemoryTaskRunner runner = new InMemoryTaskRunner(time, USAGE_PERIOD_MILLIS);

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private TaskReport start(TaskId task, String command, String checkpoint) {
        TaskSpec spec = new TaskSpec(command, 4, 100, 0, checkpoint);
        return await(runner.start(task, WORKER, spec, LEASE_MILLIS));
    }

    private TaskReport report() {
        return await(runner.report(TASK)).orElseThrow();
    }

    @Nested
    class Ends {
        @ParameterizedTest
        @CsvSource({
            "run 1200ms,        SUCCEEDED,     1200, 4800, 100",
            "run 2s cores 1 mem 7, SUCCEEDED,  2000, 2000, 7",
            "fail 200ms,        FAILED,        200,  800,  100",
            "no such program,   FAILED,        0,    0,    100",
            "hang,              LEASE_EXPIRED, 6000, 24000, 100",
        })
        void endsAsSpecifiedByItsCommand(
                String command, TaskState state, long runMillis, long cpuMillis, int memoryMib) {
            start(TASK, command, "");
            time.advance(20_000);
            TaskReport report = report();
            assertThat(report.state()).isEqualTo(state);
            assertThat(report.runMillis()).isEqualTo(runMillis);
            assertThat(report.cpuMillis()).isEqualTo(cpuMillis);
            assertThat(report.peakMemoryMib()).isEqualTo(memoryMib);
            assertThat(report.reason().isEmpty()).isEqualTo(state != TaskState.FAILED);
        }

        @Test
        void endsWhenItsWorkerIsLostOrFaulty() {
            start(TASK, "hang", "");
            runner.loseWorker(WORKER);
            time.advance(USAGE_PERIOD_MILLIS);
            assertThat(report().state()).isEqualTo(TaskState.LOST);
            runner.failTasksOf(WORKER, true);
            TaskReport faulty = start(new TaskId("mould-2"), "run 5s", "");
            assertThat(faulty.state()).isEqualTo(TaskState.FAILED);
        }
    }

    @Nested
    class Runs {
        @Test
        void startsOncePerIdentifier() {
            start(TASK, "run 5s", "");
            time.advance(1000);
            assertThat(start(TASK, "run 5s", "").runMillis()).isEqualTo(1000);
        }

        @Test
        void keepsRunningWhileItsLeaseIsRenewed() {
            start(TASK, "hang", "");
            for (int i = 0; i < 10; i++) {
                time.advance(LEASE_MILLIS - 1);
                assertThat(await(runner.renew(TASK, LEASE_MILLIS)).state())
                        .isEqualTo(TaskState.RUNNING);
            }
            time.advance(LEASE_MILLIS);
            assertThat(await(runner.renew(TASK, LEASE_MILLIS)).state())
                    .isEqualTo(TaskState.LEASE_EXPIRED);
        }

        @Test
        void reportsItsEndWithTheNextUsageReport() {
            start(TASK, "run 600ms", "");
            time.advance(700);
            assertThat(report().state()).isEqualTo(TaskState.RUNNING);
            assertThat(report().runMillis()).isEqualTo(500);
            time.advance(300);
            assertThat(report().state()).isEqualTo(TaskState.SUCCEEDED);
        }

        @Test
        void runsSlowerUnderAThrottle() {
            start(TASK, "run 1s", "");
            time.advance(500);
            await(runner.throttle(TASK, 10));
            time.advance(4999);
            assertThat(await(runner.renew(TASK, LEASE_MILLIS)).state())
                    .isEqualTo(TaskState.RUNNING);
            time.advance(1);
            assertThat(await(runner.renew(TASK, LEASE_MILLIS)).state())
                    .isEqualTo(TaskState.SUCCEEDED);
        }

        @Test
        void resumesFromTheCheckpointOfAStoppedTask() {
            start(TASK, "run 1s", "");
            time.advance(900);
            TaskReport stopped = await(runner.stop(TASK, true));
            assertThat(stopped.state()).isEqualTo(TaskState.STOPPED);
            TaskId next = new TaskId("mould-2");
            start(next, "run 1s", stopped.checkpoint());
            time.advance(500);
            TaskReport report = await(runner.report(next)).orElseThrow();
            assertThat(report.state()).isEqualTo(TaskState.SUCCEEDED);
            assertThat(report.runMillis()).isEqualTo(100);
        }
    }
}
