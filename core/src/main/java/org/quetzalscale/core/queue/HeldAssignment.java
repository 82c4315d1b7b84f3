package org.quetzalscale.core.queue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.route.Place;

/** An assignment of {@link FairAdmission}. */
final class HeldAssignment implements Assignment {
    private final FairAdmission admission;
    private final Waiting entry;
    private final Place place;
    private final Set<WorkerId> triedBefore;

    HeldAssignment(FairAdmission admission, Waiting entry, Place place, Set<WorkerId> triedBefore) {
        this.admission = admission;
        this.entry = entry;
        this.place = place;
        this.triedBefore = triedBefore;
    }

    Waiting entry() {
        return entry;
    }

    Set<WorkerId> triedWithThis() {
        Set<WorkerId> tried = new HashSet<>(triedBefore);
        tried.add(place.worker());
        return tried;
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
    public Optional<Assignment> retryElsewhere(AttemptOutcome failed) {
        return admission.retry(this, failed);
    }

    @Override
    public void finish(AttemptOutcome outcome) {
        admission.finish(this, outcome);
    }
}
