package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class PauseGateTest {
    private static final long PAUSE_MILLIS = 2_000;

    private final VirtualLoop loop = new VirtualLoop();
    private final List<CompletableFuture<Void>> confirmations = new ArrayList<>();
    private long nowMillis = 1_000;
    private int opened;
    private boolean confirmsAtOnce;

    private final LoopClock clock =
            new LoopClock(loop.executor(Runnable::run), () -> nowMillis, () -> nowMillis);
    private final PauseGate gate =
            new PauseGate(clock, 100, () -> {}, this::confirm, () -> opened++);

    private CompletionStage<Void> confirm() {
        CompletableFuture<Void> confirmation = new CompletableFuture<>();
        confirmations.add(confirmation);
        if (confirmsAtOnce) {
            confirmation.complete(null);
        }
        return confirmation;
    }

    /** Guards against a caller that waits for an opening that has already happened. */
    @Test
    void isOpenAfterAConfirmationThatEndsAtOnce() {
        confirmsAtOnce = true;
        nowMillis += PAUSE_MILLIS;

        assertThat(gate.isOpen()).isEqualTo(opened == 1).isTrue();
    }

    /** Guards against the use of what was confirmed before the last of several pauses. */
    @Test
    void staysClosedAfterAPauseDuringTheConfirmation() {
        nowMillis += PAUSE_MILLIS;
        assertThat(gate.isOpen()).isFalse();
        nowMillis += PAUSE_MILLIS;
        confirmations.get(0).complete(null);

        assertThat(opened).isZero();
        assertThat(confirmations).hasSize(2);
        confirmations.get(1).complete(null);
        assertThat(opened).isEqualTo(1);
        assertThat(gate.isOpen()).isTrue();
    }
}
