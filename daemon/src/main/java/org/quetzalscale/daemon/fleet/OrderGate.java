package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.TermValidity;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.tinylog.Logger;

/**
 * Lets the orders of an owner pass while its process runs without pauses and its term is valid.
 * After a pause another instance may own the fleet, so no order passes until the store confirms
 * that the lease has not been taken. If it has, the term ends. What operators wrote during the
 * pause is read as well, because the first orders after it must not start tasks in a zone that they
 * evacuate since.
 *
 * <p>Orders are refused and not kept: by the time of the confirmation the scheduler may have
 * decided otherwise, for example because the worker restarted.
 */
final class OrderGate {
    private static final long RETRY_DELAY_MILLIS = 50;

    private final FeedTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final TermValidity validity;
    private final WorkerSession.Term term;
    private final Supplier<CompletionStage<Void>> operatorRead;
    private final PauseGate gate;

    /**
     * Creates a gate that is open.
     *
     * @param operatorRead reads what operators wrote, and applies it to the term
     */
    OrderGate(
            FeedTable table,
            LoopClock clock,
            Condition fence,
            TermValidity validity,
            WorkerSession.Term term,
            Supplier<CompletionStage<Void>> operatorRead) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.validity = validity;
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

    /** Whether an order may be sent now. */
    boolean isOpen() {
        return gate.isOpen() && validity.isValid(clock.nowMillis());
    }

    /**
     * Whether renewals may extend the leases of workers. After a pause they may before the store
     * has confirmed the lease, if the siblings show that the store is away for all.
     */
    boolean permitsLeaseExtension() {
        gate.checkPause();
        return validity.isValid(clock.nowMillis());
    }

    /** The number of pauses of this process until now. */
    long pauses() {
        return gate.pauses();
    }

    private void closed() {
        validity.pause(clock.nowMillis());
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
