package org.quetzalscale.daemon.sibling;

import io.netty.channel.Channel;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.SnapshotJson;
import org.quetzalscale.net.frame.FrameConnection;

/** The connection that this instance opened to another one, to send it pings and changes. */
final class OutgoingLink implements Consumer<SiblingFrame> {
    private static final int MAX_OPEN_PINGS = 16;

    private final InstanceId expected;
    private final ConfigService config;
    private final TimeSource time;
    private final Consumer<SiblingFrame.Introduction> onIntroduction;
    private final FrameConnection<SiblingFrame> frames;
    private final ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
    private final Map<Long, Long> pingMillisBySequence = new LinkedHashMap<>();
    private volatile SiblingFrame.Introduction other;
    private volatile Statement latest;
    private long nextSequence;
    private int nextPart;

    OutgoingLink(
            Channel channel,
            InstanceId expected,
            ConfigService config,
            TimeSource time,
            Consumer<SiblingFrame.Introduction> onIntroduction) {
        this.expected = expected;
        this.config = config;
        this.time = time;
        this.onIntroduction = onIntroduction;
        this.frames = FrameChannel.install(channel, this);
    }

    /** Whether the other instance acknowledged the hello. */
    boolean isUp() {
        return other != null;
    }

    /**
     * Whether the other instance has seen a revision after the given one, or sent no statement yet.
     */
    boolean hasSeenMoreThan(org.quetzalscale.core.id.Revision revision) {
        Statement statement = latest;
        return statement == null || statement.seen().isNewerThan(revision);
    }

    void send(SiblingFrame frame) {
        frames.sendIfWritable(frame);
    }

    void close() {
        frames.close();
    }

    /** Requests the other instance's statement. */
    void ping() {
        long sequence;
        synchronized (pingMillisBySequence) {
            sequence = nextSequence++;
            pingMillisBySequence.put(sequence, time.nowMillis());
            pingMillisBySequence.remove(sequence - MAX_OPEN_PINGS);
        }
        frames.sendIfWritable(new SiblingFrame.Ping(sequence));
    }

    @Override
    public void accept(SiblingFrame frame) {
        if (frame instanceof SiblingFrame.HelloAck ack) {
            receiveHelloAck(ack.introduction());
            return;
        }
        if (other == null) {
            throw unexpected(frame);
        }
        if (frame instanceof SiblingFrame.Pong pong) {
            receivePong(pong);
        } else if (frame instanceof SiblingFrame.Confirm confirm) {
            config.confirm(expected, other.incarnation(), confirm.applied());
        } else if (frame instanceof SiblingFrame.ChangeFrame change) {
            config.change(change.record().change());
        } else if (frame instanceof SiblingFrame.SnapshotPart part) {
            addSnapshotPart(part);
        } else {
            throw unexpected(frame);
        }
    }

    private void receiveHelloAck(SiblingFrame.Introduction introduction) {
        if (!introduction.id().equals(expected)) {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_FRAME,
                    introduction.id() + " responded at the address of " + expected);
        }
        onIntroduction.accept(introduction);
        config.helloAck(expected, introduction.incarnation(), introduction.known().keySet());
        other = introduction;
        ping();
    }

    private void receivePong(SiblingFrame.Pong pong) {
        Long sentMillis;
        synchronized (pingMillisBySequence) {
            sentMillis = pingMillisBySequence.remove(pong.sequence());
        }
        if (sentMillis != null) {
            latest = pong.statement();
            config.statement(expected, other.incarnation(), sentMillis, pong.statement());
        }
    }

    private void addSnapshotPart(SiblingFrame.SnapshotPart part) {
        if (part.part() == 0) {
            snapshot.reset();
            nextPart = 0;
        }
        if (part.part() != nextPart) {
            throw unexpected(part);
        }
        nextPart++;
        snapshot.writeBytes(part.content());
        if (nextPart == part.parts()) {
            byte[] content = snapshot.toByteArray();
            snapshot.reset();
            nextPart = 0;
            config.offer(SnapshotJson.read(content));
        }
    }

    private static QuetzalscaleException unexpected(SiblingFrame frame) {
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_FRAME,
                "unexpected " + frame.getClass().getSimpleName() + " on an outgoing connection");
    }
}
