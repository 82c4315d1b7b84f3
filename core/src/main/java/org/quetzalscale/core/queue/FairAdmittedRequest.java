package org.quetzalscale.core.queue;

import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.route.WorkerSlot;

/** A request admitted by {@link FairAdmissionController}. */
final class FairAdmittedRequest implements AdmittedRequest {
    private final FairAdmissionController controller;
    private final PendingRequest pending;
    private final WorkerSlot slot;
    private final Set<WorkerId> triedWorkers;
    private final SlotTimeCharge charge;

    FairAdmittedRequest(
            FairAdmissionController controller,
            PendingRequest pending,
            WorkerSlot slot,
            Set<WorkerId> triedWorkers,
            SlotTimeCharge charge) {
        this.controller = controller;
        this.pending = pending;
        this.slot = slot;
        this.triedWorkers = triedWorkers;
        this.charge = charge;
    }

    PendingRequest pending() {
        return pending;
    }

    Set<WorkerId> triedWorkers() {
        return triedWorkers;
    }

    SlotTimeCharge charge() {
        return charge;
    }

    @Override
    public WorkerId worker() {
        return slot.worker();
    }

    @Override
    public String address() {
        return slot.address();
    }

    @Override
    public Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome failed) {
        return controller.retry(this, failed);
    }

    @Override
    public void finish(AttemptOutcome outcome) {
        controller.finish(this, outcome, true);
    }
}
