package org.quetzalscale.standin.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.InMemoryTaskRunner;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.FleetMessages;

/** Answers calls to the list of machines and to the tasks on workers. */
final class FleetService {
    private static final HttpReply NO_CONTENT = HttpReply.text(204, "text/plain", new byte[0]);

    // Positions in a path such as /v1/machines/<role>/<name>/<action>, split at '/'.
    private static final int ROLE = 3;
    private static final int NAME = 4;
    private static final int MACHINE_ACTION = 5;
    private static final int TASK = 3;
    private static final int TASK_ACTION = 4;

    private final MachineRegistry machines;
    private final InMemoryTaskRunner tasks;

    FleetService(MachineRegistry machines, InMemoryTaskRunner tasks) {
        this.machines = machines;
        this.tasks = tasks;
    }

    /** The paths /v1/machines and below. */
    CompletionStage<HttpReply> machines(HttpCall call) {
        String[] path = call.path().split("/");
        if (path.length == ROLE) {
            MemberRole role = roleOf(call.parameter("role").orElse(""));
            return completed(
                    HttpReply.json(
                            200,
                            new FleetMessages.Machines(
                                    machines.list(role).stream()
                                            .map(FleetMessages.MachineMessage::of)
                                            .toList())));
        }
        if (path.length <= NAME) {
            throw unknownPath(call);
        }
        MemberRole role = roleOf(path[ROLE]);
        String name = path[NAME];
        String action = path.length > MACHINE_ACTION ? path[MACHINE_ACTION] : "";
        switch (action) {
            case "" -> register(call, role, name);
            case "leaving" -> machines.leave(role, name);
            case "gone" -> lose(role, name);
            default -> throw unknownPath(call);
        }
        return completed(NO_CONTENT);
    }

    /** The paths /v1/tasks/&lt;id&gt; and below. */
    CompletionStage<HttpReply> tasks(HttpCall call) {
        String[] path = call.path().split("/");
        if (path.length <= TASK) {
            throw unknownPath(call);
        }
        TaskId task = new TaskId(path[TASK]);
        String action = path.length > TASK_ACTION ? path[TASK_ACTION] : "";
        return switch (action) {
            case "" -> call.method().equals(HttpMethod.PUT) ? start(task, call) : report(task);
            case "renew" ->
                    answer(
                            tasks.renew(
                                    task,
                                    Json.read(call.body(), FleetMessages.Renewal.class)
                                            .leaseMillis()));
            case "checkpoint" -> answer(tasks.checkpoint(task));
            case "throttle" ->
                    answer(
                            tasks.throttle(
                                    task,
                                    Json.read(call.body(), FleetMessages.Throttle.class)
                                            .percent()));
            case "stop" ->
                    answer(
                            tasks.stop(
                                    task,
                                    Json.read(call.body(), FleetMessages.Stop.class)
                                            .checkpointFirst()));
            default -> throw unknownPath(call);
        };
    }

    /** Marks machines whose process ended as GONE, and their tasks as lost. */
    void detectGone() {
        for (Member member : machines.detectGone()) {
            loseTasks(member.role(), member.name());
        }
    }

    private void register(HttpCall call, MemberRole role, String name) {
        if (!call.method().equals(HttpMethod.PUT)) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED, "machines are registered by PUT");
        }
        FleetMessages.Registration registration =
                Json.read(call.body(), FleetMessages.Registration.class);
        machines.register(
                new Member(
                        name,
                        role,
                        new ZoneId(registration.zone()),
                        registration.address(),
                        MemberState.LIVE),
                registration.processId());
    }

    private void lose(MemberRole role, String name) {
        machines.lose(role, name);
        loseTasks(role, name);
    }

    private void loseTasks(MemberRole role, String name) {
        if (role == MemberRole.WORKER) {
            tasks.loseWorker(new WorkerId(name));
        }
    }

    private CompletionStage<HttpReply> start(TaskId task, HttpCall call) {
        FleetMessages.Start start = Json.read(call.body(), FleetMessages.Start.class);
        WorkerId worker = new WorkerId(start.worker());
        return tasks.report(task)
                .thenCompose(
                        known -> {
                            if (known.isEmpty()) {
                                requireTakesTasks(worker);
                            }
                            return answer(
                                    tasks.start(task, worker, start.toSpec(), start.leaseMillis()));
                        });
    }

    private void requireTakesTasks(WorkerId worker) {
        MemberState state =
                machines.stateOf(MemberRole.WORKER, worker.value())
                        .orElseThrow(
                                () ->
                                        new QuetzalscaleException(
                                                ErrorKind.RESOURCE_UNKNOWN,
                                                "worker \"" + worker + "\" never registered"));
        if (state != MemberState.LIVE) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    "worker \"" + worker + "\" is " + state + " and takes no tasks");
        }
    }

    private CompletionStage<HttpReply> report(TaskId task) {
        return tasks.report(task)
                .thenApply(
                        report ->
                                report.map(FleetMessages.Report::of)
                                        .map(message -> HttpReply.json(200, message))
                                        .orElseThrow(
                                                () ->
                                                        new QuetzalscaleException(
                                                                ErrorKind.RESOURCE_UNKNOWN,
                                                                "task "
                                                                        + task
                                                                        + " never started")));
    }

    private static CompletionStage<HttpReply> answer(CompletionStage<TaskReport> report) {
        return report.thenApply(value -> HttpReply.json(200, FleetMessages.Report.of(value)));
    }

    private static CompletionStage<HttpReply> completed(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static MemberRole roleOf(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "entry" -> MemberRole.ENTRY;
            case "worker" -> MemberRole.WORKER;
            default ->
                    throw new QuetzalscaleException(
                            ErrorKind.INVALID_FIELD,
                            "role",
                            "role \"" + text + "\" is not one of entry, worker");
        };
    }

    private static QuetzalscaleException unknownPath(HttpCall call) {
        return new QuetzalscaleException(
                ErrorKind.RESOURCE_UNKNOWN, "path " + call.path() + " does not exist");
    }
}
