package org.quetzalscale.daemon.platform;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Keeps this instance on the platform's list: registers it at the start, and reports its end. */
final class Registration {
    private static final long RETRY_MILLIS = 1000;

    private final EventLoopGroup group;
    private final Supplier<CompletionStage<Void>> register;
    private final Supplier<CompletionStage<Void>> leave;
    private final CompletableFuture<Void> registered = new CompletableFuture<>();
    private boolean leaving;

    Registration(
            EventLoopGroup group,
            Supplier<CompletionStage<Void>> register,
            Supplier<CompletionStage<Void>> leave) {
        this.group = group;
        this.register = register;
        this.leave = leave;
    }

    /** Registers, and repeats that while the platform can't be reached. */
    CompletionStage<Void> start() {
        attempt();
        return registered;
    }

    /** Reports LEAVING once, and gives up registering. */
    CompletionStage<Void> leave() {
        synchronized (this) {
            leaving = true;
        }
        registered.completeExceptionally(
                new QuetzalscaleException(
                        ErrorKind.SHUTTING_DOWN, "stopped before the platform was reached"));
        return leave.get();
    }

    /** Reports LEAVING if that was not done; never fails. */
    CompletionStage<Void> stop() {
        if (isLeaving()) {
            return CompletableFuture.completedFuture(null);
        }
        return leave().exceptionally(failure -> null);
    }

    private synchronized boolean isLeaving() {
        return leaving;
    }

    private void attempt() {
        if (isLeaving()) {
            return;
        }
        register.get()
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure == null) {
                                registered.complete(null);
                                return;
                            }
                            QuetzalscaleException error = QuetzalscaleException.from(failure);
                            if (error.kind() == ErrorKind.STORE_UNAVAILABLE
                                    || error.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN) {
                                group.next()
                                        .schedule(
                                                this::attempt, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                                return;
                            }
                            registered.completeExceptionally(error);
                        });
    }
}
