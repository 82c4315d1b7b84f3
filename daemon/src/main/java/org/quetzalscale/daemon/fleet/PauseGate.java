package org.quetzalscale.daemon.fleet;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Open while the process runs without pauses. What the process knew before a pause may have changed
 * meanwhile, so the gate then stays closed until a confirmation succeeds that began after the
 * pause.
 */
final class PauseGate {
    private final LoopClock clock;
    private final long retryMillis;
    private final Runnable onClose;
    private final Supplier<CompletionStage<Void>> confirmation;
    private final Runnable onOpen;
    private final PauseDetector detector;
    private long noticedPauses;
    private boolean confirming;
    private boolean stopped;

    /**
     * Creates a gate that is open.
     *
     * @param retryMillis time between a failed confirmation and the next one
     * @param onClose called after each pause, before its confirmation
     * @param confirmation called after a pause, and again if its stage fails
     * @param onOpen called when the gate opens again
     */
    PauseGate(
            LoopClock clock,
            long retryMillis,
            Runnable onClose,
            Supplier<CompletionStage<Void>> confirmation,
            Runnable onOpen) {
        this.clock = clock;
        this.retryMillis = retryMillis;
        this.onClose = onClose;
        this.confirmation = confirmation;
        this.onOpen = onOpen;
        this.detector = new PauseDetector(clock);
    }

    void start() {
        detector.start();
    }

    /** Stops the detection of pauses and the confirmation. */
    void stop() {
        stopped = true;
        detector.stop();
    }

    /** Whether the gate is open. If not, the confirmation is under way. */
    boolean isOpen() {
        checkPause();
        return !confirming;
    }

    /** The number of pauses until now. */
    long pauses() {
        return detector.pauses();
    }

    /** Closes the gate if there was a pause since the last check. */
    void checkPause() {
        if (noticePause() && !confirming) {
            confirming = true;
            confirm();
        }
    }

    /** Returns whether there was a pause since the last check. */
    private boolean noticePause() {
        long pauses = detector.pauses();
        if (pauses == noticedPauses) {
            return false;
        }
        noticedPauses = pauses;
        onClose.run();
        return true;
    }

    private void confirm() {
        if (stopped) {
            return;
        }
        noticePause();
        confirmation
                .get()
                .whenComplete(
                        (ignored, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                clock.after(retryMillis, this::confirm);
                                return;
                            }
                            if (noticePause()) {
                                confirm();
                                return;
                            }
                            confirming = false;
                            onOpen.run();
                        });
    }
}
