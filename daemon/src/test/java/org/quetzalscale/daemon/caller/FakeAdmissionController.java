package org.quetzalscale.daemon.caller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.queue.AdmissionController;
import org.quetzalscale.core.queue.AdmissionRequest;
import org.quetzalscale.core.queue.AdmittedRequest;
import org.quetzalscale.core.queue.AttemptOutcome;

/** Admits requests to the first address; each retry goes to the next one. */
final class FakeAdmissionController implements AdmissionController {
    final List<String> addresses = new CopyOnWriteArrayList<>();
    final BlockingQueue<AttemptOutcome> finished = new LinkedBlockingQueue<>();
    final List<AttemptOutcome> retriedAfter = new CopyOnWriteArrayList<>();
    final AtomicInteger unfinished = new AtomicInteger();
    volatile AdmissionRequest last;
    volatile RuntimeException refusal;
    volatile boolean neverGrants;
    volatile Runnable beforeGrant = () -> {};

    @Override
    public CompletionStage<AdmittedRequest> admit(AdmissionRequest request) {
        last = request;
        if (refusal != null) {
            return CompletableFuture.failedFuture(refusal);
        }
        if (neverGrants) {
            return new CompletableFuture<>();
        }
        beforeGrant.run();
        unfinished.incrementAndGet();
        return CompletableFuture.completedFuture(new FakeAdmittedRequest(0));
    }

    private final class FakeAdmittedRequest implements AdmittedRequest {
        private final int index;

        FakeAdmittedRequest(int index) {
            this.index = index;
        }

        @Override
        public WorkerId worker() {
            return new WorkerId("w" + index);
        }

        @Override
        public String address() {
            return addresses.get(index);
        }

        @Override
        public Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome failed) {
            if (index + 1 >= addresses.size()) {
                return Optional.empty();
            }
            retriedAfter.add(failed);
            return Optional.of(new FakeAdmittedRequest(index + 1));
        }

        @Override
        public void finish(AttemptOutcome outcome) {
            unfinished.decrementAndGet();
            finished.add(outcome);
        }
    }
}
