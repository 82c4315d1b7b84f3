package org.quetzalscale.daemon.fleet;

import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.tinylog.Logger;

/**
 * Lets the orders of an owner pass while its process runs without pauses. After a pause another
 * instance may own the fleet, so no order passes until the store confirms that the lease has not
 * been taken. If it has, the term ends.
 *
 * <p>Orders are refused and not kept: by the time of the confirmation the scheduler may have
 * decided otherwise, for example because the worker restarted.
 */
final class OrderGate {
    private static final long RETRY_DELAY_MILLIS = 50;

    private final FeedTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final WorkerSession.Term term;
    private final PauseDetector detector;
    private long confirmedPauses;
    private boolean confirming;

    OrderGate(FeedTable table, LoopClock clock, Condition fence, WorkerSession.Term term) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.term = term;
        this.detector = new PauseDetector(clock);
    }

    void start() {
        detector.start();
    }

    void stop() {
        detector.stop();
    }

    /** Whether an order may be sent now. If not, the confirmation of the lease is under way. */
    boolean isOpen() {
        if (detector.pauses() == confirmedPauses) {
            return true;
        }
        if (!confirming) {
            confirming = true;
            Logger.info("event=owner_paused fence={}", fence.version());
            confirm();
        }
        return false;
    }

    private void confirm() {
        if (term.ended()) {
            return;
        }
        long pausesBefore = detector.pauses();
        table.read(fence.key())
                .whenComplete(
                        (row, failure) -> {
                            if (term.ended()) {
                                return;
                            }
                            if (failure != null) {
                                clock.after(RETRY_DELAY_MILLIS, this::confirm);
                            } else if (row.filter(r -> r.version() == fence.version())
                                    .isPresent()) {
                                confirming = false;
                                confirmedPauses = pausesBefore;
                                Logger.info("event=lease_confirmed fence={}", fence.version());
                                term.planSoon();
                            } else {
                                term.fenced("store");
                            }
                        });
    }
}
