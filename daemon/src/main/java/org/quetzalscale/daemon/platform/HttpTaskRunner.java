package org.quetzalscale.daemon.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.FleetMessages;

/** The platform's tasks over HTTP. */
final class HttpTaskRunner implements TaskRunner {
    private final PlatformClient client;

    HttpTaskRunner(PlatformClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis) {
        return client.write(
                HttpMethod.PUT,
                pathOf(task),
                FleetMessages.Start.of(worker, spec, leaseMillis),
                HttpTaskRunner::decode);
    }

    @Override
    public CompletionStage<TaskReport> renew(TaskId task, long leaseMillis) {
        return post(task, "renew", new FleetMessages.Renewal(leaseMillis));
    }

    @Override
    public CompletionStage<TaskReport> checkpoint(TaskId task) {
        return post(task, "checkpoint", Map.of());
    }

    @Override
    public CompletionStage<TaskReport> throttle(TaskId task, int percent) {
        return post(task, "throttle", new FleetMessages.Throttle(percent));
    }

    @Override
    public CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst) {
        return post(task, "stop", new FleetMessages.Stop(checkpointFirst));
    }

    @Override
    public CompletionStage<Optional<TaskReport>> report(TaskId task) {
        return client.read(
                pathOf(task),
                Map.of(),
                reply ->
                        PlatformClient.isAbsent(reply)
                                ? Optional.empty()
                                : Optional.of(decode(reply)));
    }

    private CompletionStage<TaskReport> post(TaskId task, String action, Object message) {
        return client.write(
                HttpMethod.POST, pathOf(task) + "/" + action, message, HttpTaskRunner::decode);
    }

    private static TaskReport decode(HttpReply reply) {
        return Json.read(reply.body(), FleetMessages.Report.class).toReport();
    }

    private static String pathOf(TaskId task) {
        return "/v1/tasks/" + task;
    }
}
