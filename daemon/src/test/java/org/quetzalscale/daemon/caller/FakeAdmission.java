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

/** Assigns the first address, then the others in order. */
final class FakeAdmission implements AdmissionController {
    final List<String> addresses = new CopyOnWriteArrayList<>();
    final BlockingQueue<AttemptOutcome> finished = new LinkedBlockingQueue<>();
    final List<AttemptOutcome> movedAfter = new CopyOnWriteArrayList<>();
    final AtomicInteger held = new AtomicInteger();
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
        held.incrementAndGet();
        return CompletableFuture.completedFuture(new FakeAssignment(0));
    }

    private final class FakeAssignment implements AdmittedRequest {
        private final int index;

        FakeAssignment(int index) {
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
            movedAfter.add(failed);
            return Optional.of(new FakeAssignment(index + 1));
        }

        @Override
        public void finish(AttemptOutcome outcome) {
            held.decrementAndGet();
            finished.add(outcome);
        }
    }
}
