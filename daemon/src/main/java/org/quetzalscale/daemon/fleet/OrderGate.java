package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FeedTable;
import org.tinylog.Logger;

/**
 * Lets the orders of an owner pass while its process runs without pauses. After a pause another
 * instance may own the fleet, so orders wait until the store confirms that the lease has not been
 * taken. If it has, the waiting orders are discarded with the term.
 */
final class OrderGate {
    private static final long RETRY_DELAY_MILLIS = 50;

    private final FeedTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final WorkerSession.Term term;
    private final PauseDetector detector;
    private final Queue<Runnable> waitingOrders = new ArrayDeque<>();
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
        waitingOrders.clear();
    }

    /** Sends an order now, or once the lease is confirmed. */
    <T> CompletionStage<T> send(Supplier<CompletionStage<T>> order) {
        if (detector.pauses() == confirmedPauses) {
            return order.get();
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        waitingOrders.add(() -> forward(order, answer));
        confirm();
        return answer;
    }

    private <T> void forward(Supplier<CompletionStage<T>> order, CompletableFuture<T> answer) {
        send(order)
                .whenComplete(
                        (value, failure) -> {
                            if (failure == null) {
                                answer.complete(value);
                            } else {
                                answer.completeExceptionally(failure);
                            }
                        });
    }

    private void confirm() {
        if (confirming || term.ended()) {
            return;
        }
        confirming = true;
        long pausesBefore = detector.pauses();
        Logger.info("event=owner_paused fence={} orders={}", fence.version(), waitingOrders.size());
        table.read(fence.key())
                .whenComplete(
                        (row, failure) -> {
                            confirming = false;
                            if (term.ended()) {
                                return;
                            }
                            if (failure != null) {
                                clock.after(RETRY_DELAY_MILLIS, this::confirm);
                            } else if (row.filter(r -> r.version() == fence.version())
                                    .isPresent()) {
                                confirmed(pausesBefore);
                            } else {
                                term.fenced("store");
                            }
                        });
    }

    private void confirmed(long pausesBefore) {
        confirmedPauses = pausesBefore;
        Logger.info(
                "event=lease_confirmed fence={} orders={}", fence.version(), waitingOrders.size());
        // An order that meets another pause joins the queue again, behind these.
        for (int count = waitingOrders.size(); count > 0 && !term.ended(); count--) {
            waitingOrders.remove().run();
        }
    }
}
