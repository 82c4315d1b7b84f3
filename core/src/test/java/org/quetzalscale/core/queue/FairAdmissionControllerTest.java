package org.quetzalscale.core.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.Fixtures;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.retry.RetryBudget;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.time.VirtualTime;

/** Tests limits, slots, queueing, fairness and rejections of {@link FairAdmissionController}. */
final class FairAdmissionControllerTest {
    private final VirtualTime time = new VirtualTime();
    private final Fixtures config = new Fixtures().queue("labs", false, 2).queue("open", true, 2);
    private final FakeTeamLimiter limiter = new FakeTeamLimiter();
    private final WorkerChooser workers =
            new WorkerChooser(config, worker -> false, new Random(7), time);
    private final FairAdmissionController controller =
            new FairAdmissionController(config, limiter, workers, new RetryBudget(time), time);

    private CompletableFuture<AdmittedRequest> admit(String queue, String team) {
        return request(queue, team, false, 1_000);
    }

    private CompletableFuture<AdmittedRequest> request(
            String queue, String team, boolean urgent, long timeoutMillis) {
        return controller
                .admit(
                        new AdmissionRequest(
                                new QueueId(queue),
                                Optional.ofNullable(team).map(TeamId::new),
                                urgent,
                                time.nowMillis() + timeoutMillis))
                .toCompletableFuture();
    }

    private static ErrorKind kind(CompletableFuture<?> admitted) {
        assertThat(admitted).isDone();
        return QuetzalscaleException.from(catchThrowable(admitted::join)).kind();
    }

    /** Guards against rejections with the wrong error kind. */
    @Nested
    final class Rejections {
        @Test
        void rejectsAnUnknownQueue() {
            assertThat(kind(admit("nowhere", "a"))).isEqualTo(ErrorKind.QUEUE_UNKNOWN);
        }

        @Test
        void rejectsWhileNoWorkerServesThePool() {
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.NO_WORKER_AVAILABLE);
        }

        @Test
        void rejectsWithAStaleConfiguration() {
            config.worker("w1", 1).invalid();
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.CONFIG_STALE);
        }

        @Test
        void rejectsAboveTheUpperLimit() {
            config.worker("w1", 8);
            limiter.grant("a", 1);
            assertThat(admit("labs", "a")).isCompleted();
            assertThat(kind(admit("labs", "a"))).isEqualTo(ErrorKind.LIMIT_REACHED);
        }

        @Test
        void rejectsWhenTheQueueIsFull() {
            config.worker("w1", 1);
            assertThat(admit("open", null)).isCompleted();
            admit("open", null);
            admit("open", null);
            assertThat(kind(admit("open", null))).isEqualTo(ErrorKind.QUEUE_FULL);
        }
    }

    /** Guards against requests that wait forever and against leaked slots or units. */
    @Nested
    final class WaitingRequests {
        @Test
        void startsWhenASlotIsReleased() {
            config.worker("w1", 1);
            CompletableFuture<AdmittedRequest> first = admit("open", null);
            CompletableFuture<AdmittedRequest> second = admit("open", null);
            assertThat(second).isNotDone();
            first.join().finish(AttemptOutcome.ANSWERED);
            assertThat(second).isCompleted();
        }

        @Test
        void failsAtItsDeadline() {
            config.worker("w1", 1);
            admit("open", null);
            CompletableFuture<AdmittedRequest> second = admit("open", null);
            time.advance(1_000);
            controller.tick();
            assertThat(kind(second)).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
        }

        @Test
        void removesACancelledRequest() {
            config.worker("w1", 1);
            CompletableFuture<AdmittedRequest> first = admit("open", null);
            CompletableFuture<AdmittedRequest> second = admit("open", null);
            CompletableFuture<AdmittedRequest> third = admit("open", null);
            second.cancel(true);
            first.join().finish(AttemptOutcome.ANSWERED);
            assertThat(third).isCompleted();
        }

        @Test
        void releasesTheUnit() {
            config.worker("w1", 8);
            limiter.grant("a", 1);
            admit("labs", "a").join().finish(AttemptOutcome.ANSWERED);
            assertThat(limiter.available("a")).isEqualTo(1);
        }
    }

    /** Guards against a team that gets more than its share of a full pool. */
    @Nested
    final class Fairness {
        private final Map<String, Integer> served = new TreeMap<>();
        private final Deque<AdmittedRequest> running = new ArrayDeque<>();

        private void backlog(String team, int count, boolean urgent) {
            limiter.grant(team, 100);
            for (int i = 0; i < count; i++) {
                request("deep", team, urgent, 1_000_000)
                        .thenAccept(
                                assignment -> {
                                    served.merge(team, 1, Integer::sum);
                                    running.add(assignment);
                                });
            }
        }

        @Test
        void dividesSlotTimeInProportionToShares() {
            config.worker("w1", 4).queue("deep", false, 1_000).team("a", 3, 100).team("b", 1, 100);
            backlog("a", 300, false);
            backlog("b", 300, false);
            for (int i = 0; i < 200; i++) {
                time.advance(10);
                running.poll().finish(AttemptOutcome.ANSWERED);
            }
            assertThat(served.get("a")).isBetween(148, 158);
            assertThat(served.get("b")).isBetween(46, 56);
        }

        @Test
        void startsUrgentRequestsOfATeamFirst() {
            config.worker("w1", 1).queue("deep", false, 1_000).team("a", 1, 100);
            backlog("a", 3, false);
            CompletableFuture<AdmittedRequest> urgent = request("deep", "a", true, 1_000_000);
            running.poll().finish(AttemptOutcome.ANSWERED);
            assertThat(urgent).isCompleted();
        }

        @Test
        void skipsATeamWithoutUnits() {
            config.worker("w1", 4).queue("deep", false, 1_000).team("a", 1, 1).team("b", 1, 9);
            limiter.grant("a", 1).grant("b", 9).otherInstancesHaveUnits();
            admit("deep", "a");
            assertThat(admit("deep", "a")).isNotDone();
            assertThat(admit("deep", "b")).isCompleted();
            assertThat(limiter.waiting("a")).isEqualTo(1);
        }
    }

    /**
     * Guards against queueing requests that will miss their deadline, and against rejections based
     * on outdated service times.
     */
    @Nested
    final class WaitEstimates {
        @Test
        void rejectsARequestThatWillMissItsDeadline() {
            config.worker("w1", 1).queue("deep", true, 100);
            AdmittedRequest first = admit("deep", null).join();
            time.advance(400);
            first.finish(AttemptOutcome.ANSWERED);
            assertThat(admit("deep", null)).isCompleted();
            assertThat(admit("deep", null)).isNotDone();
            assertThat(admit("deep", null)).isNotDone();
            assertThat(kind(admit("deep", null))).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
        }

        @Test
        void forgetsOldServiceTimes() {
            config.worker("w1", 1).queue("deep", true, 100);
            AdmittedRequest first = request("deep", null, false, 20_000).join();
            time.advance(5_000);
            first.finish(AttemptOutcome.ANSWERED);
            assertThat(kind(admit("deep", null))).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
            time.advance(10_000);
            assertThat(admit("deep", null)).isCompleted();
        }
    }

    /**
     * Guards against exceeding the team limit: a unit must not be reused while the target may still
     * run its request.
     */
    @Nested
    final class AttemptsThatMayStillRun {
        @Test
        void holdsTheUnitUntilTheDeadline() {
            config.worker("w1", 8);
            limiter.grant("a", 1);
            admit("labs", "a").join().finish(AttemptOutcome.BROKEN);
            assertThat(limiter.available("a")).isZero();
            time.advance(1_000);
            controller.tick();
            assertThat(limiter.available("a")).isEqualTo(1);
        }

        /** Guards against keeping a unit for a request of which nothing was sent. */
        @Test
        void releasesTheUnitAtOnceIfNothingWasSent() {
            config.worker("w1", 8);
            limiter.grant("a", 1);
            admit("labs", "a").join().finish(AttemptOutcome.NOT_SENT);
            assertThat(limiter.available("a")).isEqualTo(1);
        }

        @Test
        void takesAnotherUnitForTheRetry() {
            config.worker("w1", 8).worker("w2", 8);
            limiter.grant("a", 1);
            AdmittedRequest first = admit("labs", "a").join();
            assertThat(first.retryOnOtherWorker(AttemptOutcome.BROKEN)).isEmpty();
            limiter.grant("a", 1);
            AdmittedRequest second = first.retryOnOtherWorker(AttemptOutcome.BROKEN).orElseThrow();
            second.finish(AttemptOutcome.ANSWERED);
            assertThat(limiter.available("a")).isEqualTo(1);
        }
    }

    /** Guards against an instance that takes the slots of its siblings in a full pool. */
    @Test
    void leavesSiblingsTheirShareOfAFullPool() {
        config.worker("w1", 4).queue("deep", true, 100);
        workers.updateSiblingLoad(new InstanceId("i-2"), Map.of(), Map.of(Fixtures.POOL, 100));
        for (int i = 0; i < 100; i++) {
            admit("deep", null);
        }
        assertThat(controller.demand()).containsEntry(Fixtures.POOL, 100);
        assertThat(workers.inFlight()).containsEntry(Fixtures.workerId("w1"), 2);
    }

    /**
     * Guards against retries that multiply the load of a failing pool. The budget permits 18 here.
     */
    @Test
    void limitsRetriesToTheBudget() {
        config.worker("w1", 8).worker("w2", 8);
        int retries = 0;
        for (int i = 0; i < 40; i++) {
            AdmittedRequest first = admit("open", null).join();
            Optional<AdmittedRequest> second = first.retryOnOtherWorker(AttemptOutcome.UNREACHABLE);
            retries += second.isPresent() ? 1 : 0;
            second.orElse(first).finish(AttemptOutcome.ANSWERED);
        }
        assertThat(retries).isEqualTo(18);
    }

    /** Guards against a retry on the worker that just failed. */
    @Test
    void retriesOnAnotherWorker() {
        config.worker("w1", 1).worker("w2", 1);
        AdmittedRequest first = admit("open", null).join();
        AdmittedRequest second = first.retryOnOtherWorker(AttemptOutcome.UNREACHABLE).orElseThrow();
        assertThat(second.worker()).isNotEqualTo(first.worker());
        assertThat(second.retryOnOtherWorker(AttemptOutcome.UNREACHABLE)).isEmpty();
        second.finish(AttemptOutcome.UNREACHABLE);
        assertThat(workers.inFlight()).isEmpty();
    }
}
