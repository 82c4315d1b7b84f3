package org.quetzalscale.daemon.sibling;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.route.InstanceLoad;
import org.quetzalscale.daemon.config.ChangeJson;

/** Decodes frames, which are MessagePack arrays of the type's number and the fields. */
final class SiblingFrameDecoder {
    private static final ChangeJson CHANGES = new ChangeJson();
    private static final int MAX_INSTANCES = 1_000;
    private static final int MAX_COUNTS = 20_000;
    private static final int MAX_SNAPSHOT_PARTS = 128;

    private SiblingFrameDecoder() {}

    /**
     * Decodes one frame.
     *
     * @throws QuetzalscaleException MALFORMED_FRAME if the bytes are not exactly one frame
     */
    static SiblingFrame decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int length = unpacker.unpackArrayHeader();
            int number = unpacker.unpackInt();
            FrameType type = FrameType.ofNumber(number);
            if (type == null || length != 1 + type.fields()) {
                throw malformed("type " + number + " with " + length + " elements", null);
            }
            SiblingFrame frame = fields(type, unpacker);
            if (unpacker.hasNext()) {
                throw malformed("bytes after the frame", null);
            }
            return frame;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw malformed(e.toString(), e);
        } catch (QuetzalscaleException e) {
            throw e.kind() == ErrorKind.MALFORMED_FRAME ? e : malformed(e.getMessage(), e);
        }
    }

    private static SiblingFrame fields(FrameType type, MessageUnpacker unpacker)
            throws IOException {
        return switch (type) {
            case HELLO -> new SiblingFrame.Hello(introduction(unpacker));
            case HELLO_ACK -> new SiblingFrame.HelloAck(introduction(unpacker));
            case PING -> new SiblingFrame.Ping(unpacker.unpackLong());
            case PONG ->
                    new SiblingFrame.Pong(
                            unpacker.unpackLong(),
                            new Statement(
                                    revision(unpacker), revision(unpacker), unpacker.unpackLong()));
            case CHANGE -> new SiblingFrame.ChangeFrame(CHANGES.decode(unpacker.unpackString()));
            case CONFIRM -> new SiblingFrame.Confirm(revision(unpacker));
            case SNAPSHOT_REQUEST -> new SiblingFrame.SnapshotRequest(revision(unpacker));
            case SNAPSHOT -> snapshotPart(unpacker);
            case LOAD_REPORT -> loadReport(unpacker);
            case JOB_WAKE -> new SiblingFrame.JobWake();
        };
    }

    private static Revision revision(MessageUnpacker unpacker) throws IOException {
        return new Revision(unpacker.unpackLong());
    }

    private static SiblingFrame.Introduction introduction(MessageUnpacker unpacker)
            throws IOException {
        int version = unpacker.unpackInt();
        if (version != FrameType.PROTOCOL_VERSION) {
            throw malformed("protocol version " + version, null);
        }
        InstanceId id = new InstanceId(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        String address = unpacker.unpackString();
        int size = mapSize(unpacker, MAX_INSTANCES);
        Map<InstanceId, String> known = new HashMap<>();
        for (int i = 0; i < size; i++) {
            known.put(new InstanceId(unpacker.unpackString()), unpacker.unpackString());
        }
        return new SiblingFrame.Introduction(id, incarnation, address, known);
    }

    private static SiblingFrame snapshotPart(MessageUnpacker unpacker) throws IOException {
        int part = unpacker.unpackInt();
        int parts = unpacker.unpackInt();
        if (parts < 1 || parts > MAX_SNAPSHOT_PARTS || part < 0 || part >= parts) {
            throw malformed("part " + part + " of " + parts, null);
        }
        byte[] content = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new SiblingFrame.SnapshotPart(part, parts, content);
    }

    private static SiblingFrame loadReport(MessageUnpacker unpacker) throws IOException {
        Map<WorkerId, Integer> inFlight = counts(unpacker, WorkerId::new);
        return new SiblingFrame.LoadReport(
                new InstanceLoad(inFlight, counts(unpacker, PoolId::new)));
    }

    private static <T> Map<T, Integer> counts(MessageUnpacker unpacker, Function<String, T> name)
            throws IOException {
        int size = mapSize(unpacker, MAX_COUNTS);
        Map<T, Integer> counts = new HashMap<>();
        for (int i = 0; i < size; i++) {
            T key = name.apply(unpacker.unpackString());
            int count = unpacker.unpackInt();
            if (count < 0) {
                throw malformed(count + " requests of " + key, null);
            }
            counts.put(key, count);
        }
        return counts;
    }

    private static int mapSize(MessageUnpacker unpacker, int max) throws IOException {
        int size = unpacker.unpackMapHeader();
        if (size > max) {
            throw malformed("map of " + size + " entries", null);
        }
        return size;
    }

    private static QuetzalscaleException malformed(String reason, Throwable cause) {
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_FRAME, "malformed frame: " + reason, cause);
    }
}
