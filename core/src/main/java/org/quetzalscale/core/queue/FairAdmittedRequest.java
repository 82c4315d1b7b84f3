package org.quetzalscale.core.queue;

import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.route.WorkerSlot;

/** A request admitted by {@link FairAdmissionController}. */
final class FairAdmittedRequest implements AdmittedRequest {
    private final FairAdmissionController admission;
    private final PendingRequest pending;
    private final WorkerSlot slot;
    private final Set<WorkerId> triedWorkers;
    private final SlotTimeCharge charge;

    FairAdmittedRequest(
            FairAdmissionController admission,
            PendingRequest pending,
            WorkerSlot slot,
            Set<WorkerId> triedWorkers,
            SlotTimeCharge charge) {
        this.admission = admission;
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
        return admission.retry(this, failed);
    }

    @Override
    public void finish(AttemptOutcome outcome) {
        admission.finish(this, outcome, true);
    }
}
