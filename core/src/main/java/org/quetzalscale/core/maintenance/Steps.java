package org.quetzalscale.core.maintenance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Steps that run sequentially, because each changes the configuration's revision row. A rejected
 * step is left to a later tick; a failure of the store ends the run.
 */
public final class Steps {
    private static final int MAX_STEPS = 32;

    private static final Set<ErrorKind> REFUSALS =
            EnumSet.of(
                    ErrorKind.BUDGET_EXHAUSTED,
                    ErrorKind.VERSION_CONFLICT,
                    ErrorKind.INVALID_STATE,
                    ErrorKind.INVALID_FIELD,
                    ErrorKind.RESOURCE_UNKNOWN);

    private final Deque<Supplier<CompletionStage<?>>> steps = new ArrayDeque<>();

    /** Adds a step, or drops it if the run already has the maximum number of steps. */
    public void add(Supplier<CompletionStage<?>> step) {
        if (steps.size() < MAX_STEPS) {
            steps.add(step);
        }
    }

    /** Runs all steps. Fails with the first failure that is not a rejection. */
    public CompletionStage<Void> run() {
        CompletionStage<Void> previous = CompletableFuture.completedFuture(null);
        for (Supplier<CompletionStage<?>> step : steps) {
            previous = previous.thenCompose(nothing -> runOne(step));
        }
        return previous;
    }

    private static CompletionStage<Void> runOne(Supplier<CompletionStage<?>> step) {
        return step.get()
                .handle(
                        (value, failure) -> {
                            if (failure != null) {
                                QuetzalscaleException known = QuetzalscaleException.from(failure);
                                if (!REFUSALS.contains(known.kind())) {
                                    throw known;
                                }
                            }
                            return null;
                        });
    }
}
