package org.quetzalscale.core.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Result of one cancellation: either the job or a failure.
 *
 * @param job the job after the cancellation, or empty on failure
 * @param failure why the job was not cancelled, or empty
 */
public record CancellationResult(Optional<JobRow> job, Optional<QuetzalscaleException> failure) {
    CompletionStage<JobRow> toStage() {
        return job.<CompletionStage<JobRow>>map(CompletableFuture::completedFuture)
                .orElseGet(() -> CompletableFuture.failedFuture(failure.orElseThrow()));
    }
}
