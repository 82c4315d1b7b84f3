package org.quetzalscale.net.platform;

import java.util.List;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;

/** Messages of the machine list and of tasks. */
public final class FleetMessages {
    private FleetMessages() {}

    /** One entry of the machine list. */
    public record MachineMessage(
            String name, MemberRole role, String zone, String address, MemberState state) {
        /** Creates the message for a machine. */
        public static MachineMessage of(Member member) {
            return new MachineMessage(
                    member.name(),
                    member.role(),
                    member.zone().value(),
                    member.address(),
                    member.state());
        }

        /** Converts the message to a machine. */
        public Member toMember() {
            return new Member(name, role, new ZoneId(zone), address, state);
        }
    }

    /** The machine list. */
    public record Machines(List<MachineMessage> machines) {
        /** Copies the list; an absent list is read as empty. */
        public Machines {
            machines = machines == null ? List.of() : List.copyOf(machines);
        }
    }

    /**
     * The registration that a machine sends for itself.
     *
     * @param address IP address and port
     * @param processId process id, by which the stand-in of the platform detects that the process
     *     ended
     */
    public record Registration(String zone, String address, long processId) {}

    /**
     * A request to start a task.
     *
     * @param leaseMillis the worker stops the task if its lease is not renewed for this long
     */
    public record Start(
            String worker,
            String command,
            int cores,
            int memoryMib,
            int accelerators,
            String checkpoint,
            long leaseMillis) {
        /** Creates the message that starts a task. */
        public static Start of(WorkerId worker, TaskSpec spec, long leaseMillis) {
            return new Start(
                    worker.value(),
                    spec.command(),
                    spec.cores(),
                    spec.memoryMib(),
                    spec.accelerators(),
                    spec.checkpoint(),
                    leaseMillis);
        }

        /** The task spec in the message. */
        public TaskSpec toSpec() {
            return new TaskSpec(
                    command, cores, memoryMib, accelerators, checkpoint == null ? "" : checkpoint);
        }
    }

    /** A request to renew a lease; the lease ends this long after the request arrives. */
    public record Renewal(long leaseMillis) {}

    /** A request to limit the CPU use of a task, in percent of its declared cores. */
    public record Throttle(int percent) {}

    /** A request to stop a task, optionally after it writes a checkpoint. */
    public record Stop(boolean checkpointFirst) {}

    /** State and usage of a task; components as in {@link TaskReport}. */
    public record Report(
            String task,
            String worker,
            TaskState state,
            long runMillis,
            long cpuMillis,
            int peakMemoryMib,
            String checkpoint,
            String reason) {
        /** Creates the message for a report. */
        public static Report of(TaskReport report) {
            return new Report(
                    report.task().value(),
                    report.worker().value(),
                    report.state(),
                    report.runMillis(),
                    report.cpuMillis(),
                    report.peakMemoryMib(),
                    report.checkpoint(),
                    report.reason());
        }

        /** Converts the message to a report. */
        public TaskReport toReport() {
            return new TaskReport(
                    new TaskId(task),
                    new WorkerId(worker),
                    state,
                    runMillis,
                    cpuMillis,
                    peakMemoryMib,
                    checkpoint,
                    reason);
        }
    }
}
