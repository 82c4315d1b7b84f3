package org.quetzalscale.daemon.sibling;

import java.util.Map;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.route.InstanceLoad;

/** What instances send to each other. The instance that opened the connection asks. */
sealed interface SiblingFrame {
    /** First frame of the instance that opened the connection. */
    record Hello(Introduction introduction) implements SiblingFrame {}

    /** Answer to a hello. */
    record HelloAck(Introduction introduction) implements SiblingFrame {}

    /** Question for the other's statement. */
    record Ping(long sequence) implements SiblingFrame {}

    /** Answer to the ping with the same sequence number. */
    record Pong(long sequence, Statement statement) implements SiblingFrame {}

    /** A change of the configuration. */
    record ChangeFrame(ChangeRecord record) implements SiblingFrame {}

    /** Answer to a change: the revision of the sender's copy. */
    record Confirm(Revision applied) implements SiblingFrame {}

    /** Question for the changes after a revision; answered by changes or by a snapshot. */
    record SnapshotRequest(Revision after) implements SiblingFrame {}

    /** A part of a snapshot, numbered from 0. */
    record SnapshotPart(int part, int parts, byte[] content) implements SiblingFrame {}

    /** What the sender has running and waiting. */
    record LoadReport(InstanceLoad load) implements SiblingFrame {}

    /** A job was submitted. */
    record JobWake() implements SiblingFrame {}

    /**
     * Who a process is and whom it knows.
     *
     * @param incarnation differs for each process that runs under the id
     * @param address IP number and port at which it takes connections
     * @param known addresses of the other instances that it knows
     */
    record Introduction(
            InstanceId id, long incarnation, String address, Map<InstanceId, String> known) {
        /** Copies the addresses. */
        public Introduction {
            known = Map.copyOf(known);
        }
    }
}
