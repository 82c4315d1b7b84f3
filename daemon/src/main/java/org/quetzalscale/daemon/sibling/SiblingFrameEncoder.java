package org.quetzalscale.daemon.sibling;

import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.daemon.config.ChangeJson;

/** Encodes frames as MessagePack arrays of the type's number and the fields. */
final class SiblingFrameEncoder {
    private static final ChangeJson CHANGES = new ChangeJson();

    private SiblingFrameEncoder() {}

    static byte[] encode(SiblingFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(frame, packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INTERNAL, "cannot encode " + frame.getClass(), e);
        }
    }

    private static void pack(SiblingFrame frame, MessageBufferPacker packer) throws IOException {
        if (frame instanceof SiblingFrame.Hello hello) {
            packIntroduction(FrameType.HELLO, hello.introduction(), packer);
        } else if (frame instanceof SiblingFrame.HelloAck ack) {
            packIntroduction(FrameType.HELLO_ACK, ack.introduction(), packer);
        } else if (frame instanceof SiblingFrame.Ping ping) {
            start(FrameType.PING, packer).packLong(ping.sequence());
        } else if (frame instanceof SiblingFrame.Pong pong) {
            Statement statement = pong.statement();
            start(FrameType.PONG, packer)
                    .packLong(pong.sequence())
                    .packLong(statement.seen().value())
                    .packLong(statement.applied().value())
                    .packLong(statement.validForMillis());
        } else if (frame instanceof SiblingFrame.ChangeFrame change) {
            start(FrameType.CHANGE, packer).packString(CHANGES.encode(change.record()));
        } else if (frame instanceof SiblingFrame.Confirm confirm) {
            start(FrameType.CONFIRM, packer).packLong(confirm.applied().value());
        } else if (frame instanceof SiblingFrame.SnapshotRequest request) {
            start(FrameType.SNAPSHOT_REQUEST, packer).packLong(request.after().value());
        } else if (frame instanceof SiblingFrame.SnapshotPart part) {
            start(FrameType.SNAPSHOT, packer)
                    .packInt(part.part())
                    .packInt(part.parts())
                    .packBinaryHeader(part.content().length)
                    .writePayload(part.content());
        } else if (frame instanceof SiblingFrame.LoadReport report) {
            start(FrameType.LOAD_REPORT, packer);
            packCounts(report.load().inFlight(), WorkerId::value, packer);
            packCounts(report.load().demand(), PoolId::value, packer);
        } else {
            start(FrameType.JOB_WAKE, packer);
        }
    }

    private static <T> void packCounts(
            Map<T, Integer> counts, Function<T, String> name, MessageBufferPacker packer)
            throws IOException {
        packer.packMapHeader(counts.size());
        for (Map.Entry<T, Integer> entry : counts.entrySet()) {
            packer.packString(name.apply(entry.getKey())).packInt(entry.getValue());
        }
    }

    private static MessageBufferPacker start(FrameType type, MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(1 + type.fields()).packInt(type.number());
        return packer;
    }

    private static void packIntroduction(
            FrameType type, SiblingFrame.Introduction introduction, MessageBufferPacker packer)
            throws IOException {
        start(type, packer)
                .packInt(FrameType.PROTOCOL_VERSION)
                .packString(introduction.id().value())
                .packLong(introduction.incarnation())
                .packString(introduction.address())
                .packMapHeader(introduction.known().size());
        for (Map.Entry<InstanceId, String> entry : introduction.known().entrySet()) {
            packer.packString(entry.getKey().value()).packString(entry.getValue());
        }
    }
}
