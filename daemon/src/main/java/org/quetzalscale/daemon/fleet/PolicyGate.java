package org.quetzalscale.daemon.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.tinylog.Logger;

/**
 * Gives requests the configuration to check them against. After a pause of the process a key may
 * have been withdrawn or a queue added, so requests wait until the store confirms the
 * configuration.
 *
 * <p>If the store is unavailable to all instances, requests use the known configuration: nothing
 * can be recorded and no newer configuration be acknowledged until it is back.
 */
public final class PolicyGate {
    /**
     * Longest wait of a request. A read takes a few milliseconds; a request that waits longer is
     * better served by another instance.
     */
    private static final long MAX_WAIT_MILLIS = 500;

    private static final long RETRY_DELAY_MILLIS = 100;

    private final PolicyWatcher policies;
    private final LoopClock clock;
    private final BooleanSupplier storeUnavailableToAll;
    private final PauseGate gate;
    private final Set<CompletableFuture<Void>> waiting = new LinkedHashSet<>();

    /**
     * Creates a gate that detects no pauses yet.
     *
     * @param storeUnavailableToAll whether, as far as is known, no instance reaches the store
     */
    public PolicyGate(
            PolicyWatcher policies, LoopClock clock, BooleanSupplier storeUnavailableToAll) {
        this.policies = policies;
        this.clock = clock;
        this.storeUnavailableToAll = storeUnavailableToAll;
        this.gate =
                new PauseGate(clock, RETRY_DELAY_MILLIS, this::closed, this::confirm, this::opened);
    }

    /** Starts to detect pauses. */
    public void start() {
        gate.start();
    }

    /**
     * The configuration for a request that was read from its connection now.
     *
     * @return a stage that fails with CONFIG_STALE before the first read of the configuration, and
     *     with STORE_UNAVAILABLE if the store does not confirm it in time after a pause
     */
    public CompletionStage<FleetPolicy> current() {
        if (policies.current().isEmpty()) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.CONFIG_STALE, "the configuration has not been read yet"));
        }
        if (gate.isOpen()) {
            return CompletableFuture.completedFuture(policies.current().get());
        }
        CompletableFuture<Void> opened = new CompletableFuture<>();
        waiting.add(opened);
        clock.after(MAX_WAIT_MILLIS, () -> giveUp(opened));
        return opened.thenApply(ignored -> policies.current().get());
    }

    /** Time since the store last confirmed that there is no newer configuration. */
    public long ageMillis() {
        return clock.nowMillis() - policies.confirmedMillis();
    }

    private void closed() {
        Logger.info(
                "event=policy_unconfirmed policy={}",
                policies.current().map(FleetPolicy::version).orElse(0L));
    }

    private CompletionStage<Void> confirm() {
        return policies.readPolicy()
                .exceptionally(
                        failure -> {
                            if (storeUnavailableToAll.getAsBoolean()) {
                                return null;
                            }
                            throw new CompletionException(failure);
                        });
    }

    private void opened() {
        Logger.info(
                "event=policy_confirmed policy={} age_ms={} requests={}",
                policies.current().map(FleetPolicy::version).orElse(0L),
                ageMillis(),
                waiting.size());
        List<CompletableFuture<Void>> released = List.copyOf(waiting);
        waiting.clear();
        released.forEach(opened -> opened.complete(null));
    }

    private void giveUp(CompletableFuture<Void> opened) {
        waiting.remove(opened);
        opened.completeExceptionally(
                new QuetzalscaleException(
                        ErrorKind.STORE_UNAVAILABLE,
                        "the store has not confirmed the configuration since a pause of the"
                                + " process"));
    }
}
