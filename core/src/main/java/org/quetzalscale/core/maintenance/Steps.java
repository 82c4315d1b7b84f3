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
 * Steps that run one after the other, since each changes the configuration's revision row. A step
 * that is refused is left to a later tick; a failure of the store ends the run.
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

    /** Adds a step; steps beyond the largest number of one run are dropped. */
    public void add(Supplier<CompletionStage<?>> step) {
        if (steps.size() < MAX_STEPS) {
            steps.add(step);
        }
    }

    /** Runs all steps. Fails with the kind of the first failure that is not a refusal. */
    public CompletionStage<Void> run() {
        CompletionStage<Void> done = CompletableFuture.completedFuture(null);
        for (Supplier<CompletionStage<?>> step : steps) {
            done = done.thenCompose(nothing -> runOne(step));
        }
        return done;
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
