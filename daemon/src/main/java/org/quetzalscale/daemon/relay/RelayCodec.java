package org.quetzalscale.daemon.relay;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.net.frame.FrameConnection;

/** Encodes frames in MessagePack: the frame type, the call id, then the fields of the type. */
final class RelayCodec {
    private static final int READ = 1;
    private static final int SCAN = 2;
    private static final int FEED = 3;
    private static final int COMMIT = 4;
    private static final int ROWS = 5;
    private static final int COMMITTED = 6;
    private static final int FAILED = 7;
    private static final int VIEW_LEASE = 8;
    private static final int LEASE_VIEWED = 9;
    private static final int MAX_ENTRIES = 100_000;

    private RelayCodec() {}

    /** Installs the codec on a channel. */
    static FrameConnection<RelayFrame> install(Channel channel, Consumer<RelayFrame> receiver) {
        return FrameConnection.install(channel, RelayCodec::decode, RelayCodec::encode, receiver);
    }

    static byte[] encode(RelayFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(typeOf(frame)).packLong(frame.callId());
            pack(frame, packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INTERNAL, "cannot encode " + frame.getClass(), e);
        }
    }

    /**
     * Decodes one frame.
     *
     * @throws QuetzalscaleException MALFORMED_FRAME if the bytes are not exactly one valid frame
     */
    static RelayFrame decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int type = unpacker.unpackInt();
            RelayFrame frame = unpack(type, unpacker.unpackLong(), unpacker);
            if (unpacker.hasNext()) {
                throw malformed("trailing bytes after the frame", null);
            }
            return frame;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw malformed(e.toString(), e);
        }
    }

    private static int typeOf(RelayFrame frame) {
        if (frame instanceof RelayFrame.Read) {
            return READ;
        } else if (frame instanceof RelayFrame.Scan) {
            return SCAN;
        } else if (frame instanceof RelayFrame.Feed) {
            return FEED;
        } else if (frame instanceof RelayFrame.Commit) {
            return COMMIT;
        } else if (frame instanceof RelayFrame.Rows) {
            return ROWS;
        } else if (frame instanceof RelayFrame.Committed) {
            return COMMITTED;
        } else if (frame instanceof RelayFrame.ViewLease) {
            return VIEW_LEASE;
        } else if (frame instanceof RelayFrame.LeaseViewed) {
            return LEASE_VIEWED;
        }
        return FAILED;
    }

    private static void pack(RelayFrame frame, MessageBufferPacker packer) throws IOException {
        if (frame instanceof RelayFrame.Read read) {
            packer.packString(read.key().value());
        } else if (frame instanceof RelayFrame.Scan scan) {
            packer.packString(scan.prefix());
        } else if (frame instanceof RelayFrame.Feed feed) {
            packer.packString(feed.table()).packLong(feed.version()).packInt(feed.waitMillis());
        } else if (frame instanceof RelayFrame.Commit commit) {
            packTransaction(commit.transaction(), packer);
        } else if (frame instanceof RelayFrame.Rows rows) {
            packer.packLong(rows.version()).packBoolean(rows.last());
            packer.packArrayHeader(rows.rows().size());
            for (ChangedRow row : rows.rows()) {
                packer.packString(row.key().value()).packLong(row.version());
                packOptional(row.value(), packer);
            }
        } else if (frame instanceof RelayFrame.Committed committed) {
            packer.packLong(committed.result().version());
            packOptional(committed.result().conflict().map(RowKey::value), packer);
        } else if (frame instanceof RelayFrame.Failed failed) {
            packer.packString(failed.kind().name()).packString(failed.message());
        } else if (frame instanceof RelayFrame.LeaseViewed viewed) {
            LeaseView view = viewed.view();
            packer.packBoolean(view.tableResponds());
            packer.packString(view.holder()).packLong(view.renewals());
        }
    }

    private static void packTransaction(Transaction transaction, MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(transaction.conditions().size());
        for (Condition condition : transaction.conditions()) {
            packer.packString(condition.key().value()).packLong(condition.version());
        }
        packer.packArrayHeader(transaction.mutations().size());
        for (Mutation mutation : transaction.mutations()) {
            packer.packString(mutation.key().value());
            packOptional(mutation.value(), packer);
        }
    }

    private static void packOptional(Optional<String> text, MessageBufferPacker packer)
            throws IOException {
        if (text.isPresent()) {
            packer.packString(text.get());
        } else {
            packer.packNil();
        }
    }

    private static RelayFrame unpack(int type, long callId, MessageUnpacker unpacker)
            throws IOException {
        return switch (type) {
            case READ -> new RelayFrame.Read(callId, unpackKey(unpacker));
            case SCAN -> new RelayFrame.Scan(callId, unpacker.unpackString());
            case FEED ->
                    new RelayFrame.Feed(
                            callId,
                            unpacker.unpackString(),
                            unpacker.unpackLong(),
                            unpacker.unpackInt());
            case COMMIT -> new RelayFrame.Commit(callId, unpackTransaction(unpacker));
            case ROWS -> unpackRows(callId, unpacker);
            case COMMITTED -> new RelayFrame.Committed(callId, unpackResult(unpacker));
            case FAILED ->
                    new RelayFrame.Failed(
                            callId,
                            ErrorKind.valueOf(unpacker.unpackString()),
                            unpacker.unpackString());
            case VIEW_LEASE -> new RelayFrame.ViewLease(callId);
            case LEASE_VIEWED ->
                    new RelayFrame.LeaseViewed(
                            callId,
                            new LeaseView(
                                    unpacker.unpackBoolean(),
                                    unpacker.unpackString(),
                                    unpacker.unpackLong()));
            default -> throw malformed("unknown frame type " + type, null);
        };
    }

    private static RelayFrame unpackRows(long callId, MessageUnpacker unpacker) throws IOException {
        long version = unpacker.unpackLong();
        boolean last = unpacker.unpackBoolean();
        int size = listSize(unpacker);
        List<ChangedRow> rows = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            rows.add(
                    new ChangedRow(
                            unpackKey(unpacker), unpacker.unpackLong(), unpackOptional(unpacker)));
        }
        return new RelayFrame.Rows(callId, rows, version, last);
    }

    private static CommitResult unpackResult(MessageUnpacker unpacker) throws IOException {
        long version = unpacker.unpackLong();
        Optional<String> conflict = unpackOptional(unpacker);
        return conflict.isPresent()
                ? CommitResult.conflict(new RowKey(conflict.get()))
                : CommitResult.committed(version);
    }

    private static Transaction unpackTransaction(MessageUnpacker unpacker) throws IOException {
        List<Condition> conditions = new ArrayList<>();
        int conditionCount = listSize(unpacker);
        for (int i = 0; i < conditionCount; i++) {
            conditions.add(new Condition(unpackKey(unpacker), unpacker.unpackLong()));
        }
        List<Mutation> mutations = new ArrayList<>();
        int mutationCount = listSize(unpacker);
        for (int i = 0; i < mutationCount; i++) {
            mutations.add(new Mutation(unpackKey(unpacker), unpackOptional(unpacker)));
        }
        return new Transaction(conditions, mutations);
    }

    private static RowKey unpackKey(MessageUnpacker unpacker) throws IOException {
        return new RowKey(unpacker.unpackString());
    }

    private static Optional<String> unpackOptional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    }

    private static int listSize(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > MAX_ENTRIES) {
            throw malformed("list length " + size + " exceeds the limit", null);
        }
        return size;
    }

    private static QuetzalscaleException malformed(String reason, Throwable cause) {
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_FRAME, "malformed frame: " + reason, cause);
    }
}
