package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.tinylog.Logger;

/**
 * Lets the orders of an owner pass while its process runs without pauses. After a pause another
 * instance may own the fleet, so no order passes until the store confirms that the lease has not
 * been taken. If it has, the term ends. What operators wrote during the pause is read as well,
 * because the first orders after it must not start tasks in a zone that they evacuate since.
 *
 * <p>Orders are refused and not kept: by the time of the confirmation the scheduler may have
 * decided otherwise, for example because the worker restarted.
 */
final class OrderGate {
    private static final long RETRY_DELAY_MILLIS = 50;

    /** Time in which a worker that follows another owner rejects a renewal. */
    private static final long REJECTION_MILLIS = 500;

    private final FeedTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final WorkerSession.Term term;
    private final Supplier<CompletionStage<Void>> operatorRead;
    private final PauseGate gate;
    private long closedMillis;

    /**
     * Creates a gate that is open.
     *
     * @param operatorRead reads what operators wrote, and applies it to the term
     */
    OrderGate(
            FeedTable table,
            LoopClock clock,
            Condition fence,
            WorkerSession.Term term,
            Supplier<CompletionStage<Void>> operatorRead) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.term = term;
        this.operatorRead = operatorRead;
        this.gate =
                new PauseGate(
                        clock, RETRY_DELAY_MILLIS, this::closed, this::confirmLease, this::opened);
    }

    void start() {
        gate.start();
    }

    void stop() {
        gate.stop();
    }

    /** Whether an order may be sent now. If not, the confirmation of the lease is under way. */
    boolean isOpen() {
        return gate.isOpen();
    }

    /**
     * Whether renewals may extend the leases of workers. After a pause they may not before the
     * lease is confirmed, or another owner's workers had the time to reject a renewal: that owner
     * starts tasks elsewhere when the leases that it knows of have expired. If neither happens, the
     * store is away, and leases are extended to keep work alive.
     */
    boolean permitsLeaseExtension() {
        return gate.isOpen() || clock.nowMillis() - closedMillis >= REJECTION_MILLIS;
    }

    private void closed() {
        closedMillis = clock.nowMillis();
        Logger.info("event=owner_paused fence={}", fence.version());
    }

    private CompletionStage<Void> confirmLease() {
        return table.read(fence.key())
                .thenAccept(this::requireLease)
                .thenCompose(ignored -> operatorRead.get());
    }

    private void requireLease(Optional<Row> row) {
        if (row.filter(r -> r.version() == fence.version()).isEmpty()) {
            term.fenced("store");
            throw new QuetzalscaleException(
                    ErrorKind.LEASE_LOST, "another instance has taken the lease");
        }
    }

    private void opened() {
        Logger.info("event=lease_confirmed fence={}", fence.version());
        term.planSoon();
    }
}
