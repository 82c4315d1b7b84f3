package org.quetzalscale.daemon.sibling;

import java.util.Map;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.route.InstanceLoad;

/**
 * Frames that instances exchange. The instance that opened a connection sends the requests on it.
 */
sealed interface SiblingFrame {
    /** First frame of the instance that opened the connection. */
    record Hello(Introduction introduction) implements SiblingFrame {}

    /** Response to a hello. */
    record HelloAck(Introduction introduction) implements SiblingFrame {}

    /** Request for the other instance's statement. */
    record Ping(long sequence) implements SiblingFrame {}

    /** Response to the ping with the same sequence number. */
    record Pong(long sequence, Statement statement) implements SiblingFrame {}

    /** A change of the configuration. */
    record ChangeFrame(ChangeRecord record) implements SiblingFrame {}

    /** Response to a change: the revision of the responder's copy. */
    record Confirm(Revision applied) implements SiblingFrame {}

    /** Request for the changes after a revision; the response is the changes or a snapshot. */
    record SnapshotRequest(Revision after) implements SiblingFrame {}

    /** A part of a snapshot, numbered from 0. */
    record SnapshotPart(int part, int parts, byte[] content) implements SiblingFrame {}

    /** The sender's running and waiting requests. */
    record LoadReport(InstanceLoad load) implements SiblingFrame {}

    /** A job was submitted. */
    record JobWake() implements SiblingFrame {}

    /**
     * Identity of a process and the instances that it knows.
     *
     * @param incarnation differs for each process that runs under the id
     * @param address IP address and port at which it accepts connections
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
