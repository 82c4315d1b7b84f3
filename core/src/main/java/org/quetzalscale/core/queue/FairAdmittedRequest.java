package org.quetzalscale.core.queue;

import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.route.WorkerSlot;

/** An assignment of {@link FairAdmissionController}. */
final class FairAdmittedRequest implements AdmittedRequest {
    private final FairAdmissionController admission;
    private final Waiting entry;
    private final WorkerSlot place;
    private final Set<WorkerId> triedBefore;
    private final Charge charge;

    FairAdmittedRequest(
            FairAdmissionController admission,
            Waiting entry,
            WorkerSlot place,
            Set<WorkerId> triedBefore,
            Charge charge) {
        this.admission = admission;
        this.entry = entry;
        this.place = place;
        this.triedBefore = triedBefore;
        this.charge = charge;
    }

    Waiting entry() {
        return entry;
    }

    Set<WorkerId> triedBefore() {
        return triedBefore;
    }

    Charge charge() {
        return charge;
    }

    @Override
    public WorkerId worker() {
        return place.worker();
    }

    @Override
    public String address() {
        return place.address();
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
