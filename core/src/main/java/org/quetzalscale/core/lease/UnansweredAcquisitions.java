package org.quetzalscale.core.lease;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;

/**
 * Counts the acquisitions in a row that got no answer, and finds out from the lease row what became
 * of them. Not thread-safe.
 */
final class UnansweredAcquisitions {
    /**
     * Acquisitions without an answer after which an instance no longer acquires a lease in its name
     * at once. Each of them may have been carried out and changed the row, so that the lease never
     * seems to have expired to the others.
     */
    private static final int MAX_AT_ONCE = 2;

    private static final long NONE = -1;

    private final InstanceId self;
    private final AcquisitionListener listener;
    private int count;

    /** The version of the lease row that the last one requires. */
    private long requiredVersion = NONE;

    UnansweredAcquisitions(InstanceId self, AcquisitionListener listener) {
        this.self = self;
        this.listener = listener;
    }

    /** Whether this instance may acquire a lease in its name without waiting. */
    boolean mayAcquireAtOnce() {
        return count <= MAX_AT_ONCE;
    }

    /** Called when an acquisition has failed. */
    void failed(long rowVersion, Throwable failure) {
        QuetzalscaleException error = QuetzalscaleException.from(failure);
        if (error.kind() == ErrorKind.STORE_UNAVAILABLE) {
            return;
        }
        count++;
        requiredVersion = rowVersion;
        listener.accept(AcquisitionOutcome.UNANSWERED, error.getMessage());
    }

    /** Called when an acquisition was committed. */
    void committed() {
        resolve(AcquisitionOutcome.REPLACED, self.value());
        count = 0;
    }

    /** Called when an acquisition was rejected because the lease row had changed. */
    void rejected() {
        count = 0;
    }

    /** Called with the holder and the version that were read from the lease row. */
    void rowRead(String holder, long version) {
        boolean own = holder.equals(self.value());
        if (version != requiredVersion) {
            resolve(own ? AcquisitionOutcome.COMMITTED : AcquisitionOutcome.OVERTAKEN, holder);
        }
        if (!own) {
            count = 0;
        }
    }

    private void resolve(AcquisitionOutcome outcome, String detail) {
        if (requiredVersion != NONE) {
            requiredVersion = NONE;
            listener.accept(outcome, detail);
        }
    }
}
