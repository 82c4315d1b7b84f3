package org.quetzalscale.daemon.job;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.daemon.caller.TeamHandler;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** Routes calls under {@code /v1/jobs} on the caller port to the job handlers. */
public final class JobRoutes implements TeamHandler {
    private static final String JOBS = "/v1/jobs";

    private final JobHandlers handlers;
    private final Runnable onSubmitted;

    /**
     * Creates routes to the given handlers.
     *
     * @param onSubmitted runs after each accepted submission, to wake the holder of the jobs lease
     */
    public JobRoutes(JobHandlers handlers, Runnable onSubmitted) {
        this.handlers = handlers;
        this.onSubmitted = onSubmitted;
    }

    @Override
    public CompletionStage<HttpReply> handle(TeamId team, HttpCall call) {
        if (call.path().equals(JOBS)) {
            requireMethod(call, call.method().equals(HttpMethod.POST));
            return handlers.submit(team, call.body())
                    .thenApply(
                            reply -> {
                                onSubmitted.run();
                                return reply;
                            });
        }
        if (!call.path().startsWith(JOBS + "/")) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_UNKNOWN, "no such path: " + call.path());
        }
        String id = call.path().substring(JOBS.length() + 1);
        if (call.method().equals(HttpMethod.DELETE)) {
            return handlers.cancel(team, id);
        }
        requireMethod(call, call.method().equals(HttpMethod.GET));
        return handlers.find(team, id, call.parameter("waitMs"));
    }

    private static void requireMethod(HttpCall call, boolean allowed) {
        if (!allowed) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED,
                    call.path() + " does not take " + call.method().name());
        }
    }
}
