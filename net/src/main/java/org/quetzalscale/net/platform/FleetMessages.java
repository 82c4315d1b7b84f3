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

/** Messages of the list of machines and of tasks. */
public final class FleetMessages {
    private FleetMessages() {}

    /** One machine on the list. */
    public record MachineMessage(
            String name, MemberRole role, String zone, String address, MemberState state) {
        /** The message for a machine. */
        public static MachineMessage of(Member member) {
            return new MachineMessage(
                    member.name(),
                    member.role(),
                    member.zone().value(),
                    member.address(),
                    member.state());
        }

        /** The machine in the message. */
        public Member toMember() {
            return new Member(name, role, new ZoneId(zone), address, state);
        }
    }

    /** The list of machines. */
    public record Machines(List<MachineMessage> machines) {
        /** Copies the list; an absent one is empty. */
        public Machines {
            machines = machines == null ? List.of() : List.copyOf(machines);
        }
    }

    /**
     * A machine's registration by itself.
     *
     * @param address IP number and port
     * @param processId operating system process id by which the stand-in sees that it ended
     */
    public record Registration(String zone, String address, long processId) {}

    /**
     * The start of a task.
     *
     * @param leaseMillis the worker stops the task when its lease was not renewed for this long
     */
    public record Start(
            String worker,
            String command,
            int cores,
            int memoryMib,
            int accelerators,
            String checkpoint,
            long leaseMillis) {
        /** The message for a start. */
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

        /** What the platform is to run. */
        public TaskSpec toSpec() {
            return new TaskSpec(
                    command, cores, memoryMib, accelerators, checkpoint == null ? "" : checkpoint);
        }
    }

    /** A lease renewal; the lease ends this long after its arrival. */
    public record Renewal(long leaseMillis) {}

    /** A limit on the processor use of a task, in percent of its declared cores. */
    public record Throttle(int percent) {}

    /** A stop. */
    public record Stop(boolean checkpointFirst) {}

    /** State and usage of a task; parts as in {@link TaskReport}. */
    public record Report(
            String task,
            String worker,
            TaskState state,
            long runMillis,
            long cpuMillis,
            int peakMemoryMib,
            String checkpoint,
            String reason) {
        /** The message for a report. */
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

        /** The report in the message. */
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
