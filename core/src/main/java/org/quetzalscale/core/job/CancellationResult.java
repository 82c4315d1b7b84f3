package org.quetzalscale.core.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * What became of one cancellation.
 *
 * @param job the job afterwards, unless there is a failure
 */
public record CancellationResult(Optional<JobRow> job, Optional<QuetzalscaleException> failure) {
    CompletionStage<JobRow> toStage() {
        return job.<CompletionStage<JobRow>>map(CompletableFuture::completedFuture)
                .orElseGet(() -> CompletableFuture.failedFuture(failure.orElseThrow()));
    }
}
