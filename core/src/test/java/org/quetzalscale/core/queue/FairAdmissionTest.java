package org.quetzalscale.core.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.Fixtures;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.time.VirtualTime;

/** Admission of requests: limits, slots, waiting, and its refusals. */
final class FairAdmissionTest {
    private final VirtualTime time = new VirtualTime();
    private final Fixtures config = new Fixtures().queue("labs", false, 2).queue("open", true, 2);
    private final CountedUnits units = new CountedUnits();
    private final WorkerChooser workers =
            new WorkerChooser(config, worker -> false, new Random(7), time);
    private final FairAdmission admission = new FairAdmission(config, units, workers, time);

    private CompletableFuture<Assignment> admit(String queue, String team) {
        return admission
                .admit(
                        new AdmissionRequest(
                                new QueueId(queue),
                                Optional.ofNullable(team).map(TeamId::new),
                                false,
                                time.nowMillis() + 1_000))
                .toCompletableFuture();
    }

    private static ErrorKind kind(CompletableFuture<?> answer) {
        assertThat(answer).isDone();
        return QuetzalscaleException.from(catchThrowable(answer::join)).kind();
    }

    /** Guards against refusals that name the wrong reason. */
    @Nested
    final class Refusals {
        @Test
        void refusesAnUnknownQueue() {
            assertThat(kind(admit("nowhere", "a"))).isEqualTo(ErrorKind.QUEUE_UNKNOWN);
        }

        @Test
        void refusesWhileNoWorkerServesThePool() {
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.NO_WORKER_AVAILABLE);
        }

        @Test
        void refusesWithAStaleConfiguration() {
            config.worker("w1", 1).invalid();
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.CONFIG_STALE);
        }

        @Test
        void refusesAboveTheUpperLimit() {
            config.worker("w1", 8);
            units.grant("a", 1);
            assertThat(admit("labs", "a")).isCompleted();
            assertThat(kind(admit("labs", "a"))).isEqualTo(ErrorKind.LIMIT_REACHED);
        }

        @Test
        void refusesAFullQueue() {
            config.worker("w1", 1);
            assertThat(admit("open", null)).isCompleted();
            admit("open", null);
            admit("open", null);
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.QUEUE_FULL);
        }
    }

    /** Guards against requests that wait for ever, and slots or units that are not given back. */
    @Nested
    final class WaitingRequests {
        @Test
        void startsWhenASlotIsGivenBack() {
            config.worker("w1", 1);
            CompletableFuture<Assignment> first = admit("open", null);
            CompletableFuture<Assignment> second = admit("open", null);
            assertThat(second).isNotDone();
            first.join().finish(AttemptOutcome.ANSWERED);
            assertThat(second).isCompleted();
        }

        @Test
        void endsAtItsDeadline() {
            config.worker("w1", 1);
            admit("open", null);
            CompletableFuture<Assignment> second = admit("open", null);
            time.advance(1_000);
            admission.tick();
            assertThat(kind(second)).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
        }

        @Test
        void withdrawsACancelledRequest() {
            config.worker("w1", 1);
            CompletableFuture<Assignment> first = admit("open", null);
            CompletableFuture<Assignment> second = admit("open", null);
            CompletableFuture<Assignment> third = admit("open", null);
            second.cancel(true);
            first.join().finish(AttemptOutcome.ANSWERED);
            assertThat(third).isCompleted();
        }

        @Test
        void givesTheUnitBack() {
            config.worker("w1", 8);
            units.grant("a", 1);
            admit("labs", "a").join().finish(AttemptOutcome.ANSWERED);
            assertThat(units.free("a")).isEqualTo(1);
        }
    }

    /** Guards against a second attempt on the worker that just failed. */
    @Test
    void retriesOnAnotherWorker() {
        config.worker("w1", 1).worker("w2", 1);
        Assignment first = admit("open", null).join();
        Assignment second = first.retryElsewhere(AttemptOutcome.UNREACHABLE).orElseThrow();
        assertThat(second.worker()).isNotEqualTo(first.worker());
        assertThat(second.retryElsewhere(AttemptOutcome.UNREACHABLE)).isEmpty();
        second.finish(AttemptOutcome.UNREACHABLE);
        assertThat(workers.inFlight()).isEmpty();
    }
}
