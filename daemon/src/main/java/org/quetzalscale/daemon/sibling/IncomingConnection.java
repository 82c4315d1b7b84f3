package org.quetzalscale.daemon.sibling;

import io.netty.channel.Channel;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.SnapshotJson;
import org.quetzalscale.net.frame.FrameConnection;

/** Responds to the frames on a connection that another instance opened. */
final class IncomingConnection implements Consumer<SiblingFrame> {
    /** Up to this number, changes are sent one by one; more are sent as a snapshot. */
    private static final int MAX_CHANGES = 64;

    private static final int PART_BYTES = 512 << 10;

    private final ConfigService config;
    private final SiblingHooks hooks;
    private final Supplier<SiblingFrame.Introduction> self;
    private final Consumer<SiblingFrame.Introduction> onIntroduction;
    private final FrameConnection<SiblingFrame> frames;
    private SiblingFrame.Introduction other;

    IncomingConnection(
            Channel channel,
            ConfigService config,
            SiblingHooks hooks,
            Supplier<SiblingFrame.Introduction> self,
            Consumer<SiblingFrame.Introduction> onIntroduction) {
        this.config = config;
        this.hooks = hooks;
        this.self = self;
        this.onIntroduction = onIntroduction;
        this.frames = FrameChannel.install(channel, this);
    }

    @Override
    public void accept(SiblingFrame frame) {
        if (frame instanceof SiblingFrame.Hello hello) {
            other = hello.introduction();
            onIntroduction.accept(other);
            config.hello(other.id(), other.incarnation(), other.known().keySet());
            frames.sendIfWritable(new SiblingFrame.HelloAck(self.get()));
            return;
        }
        if (other == null) {
            throw unexpected(frame);
        }
        if (frame instanceof SiblingFrame.Ping ping) {
            frames.sendIfWritable(new SiblingFrame.Pong(ping.sequence(), config.statement()));
        } else if (frame instanceof SiblingFrame.ChangeFrame change) {
            frames.sendIfWritable(
                    new SiblingFrame.Confirm(config.change(change.record().change())));
        } else if (frame instanceof SiblingFrame.SnapshotRequest request) {
            sendChangesAfter(request.after());
        } else if (frame instanceof SiblingFrame.LoadReport report) {
            hooks.loads().report(other.id(), report.load());
        } else if (frame instanceof SiblingFrame.JobWake) {
            hooks.jobWake().run();
        } else {
            throw unexpected(frame);
        }
    }

    private static QuetzalscaleException unexpected(SiblingFrame frame) {
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_FRAME,
                "unexpected " + frame.getClass().getSimpleName() + " on an incoming connection");
    }

    private void sendChangesAfter(Revision after) {
        Optional<List<Change>> changes = config.changesAfter(after);
        if (changes.isPresent() && changes.get().size() <= MAX_CHANGES) {
            String writer = config.self().value();
            changes.get()
                    .forEach(
                            change ->
                                    frames.sendIfWritable(
                                            new SiblingFrame.ChangeFrame(
                                                    new ChangeRecord(change, writer))));
            return;
        }
        byte[] content = SnapshotJson.write(config.snapshot());
        int parts = (content.length + PART_BYTES - 1) / PART_BYTES;
        for (int part = 0; part < parts; part++) {
            int from = part * PART_BYTES;
            int to = Math.min(content.length, from + PART_BYTES);
            frames.send(
                    new SiblingFrame.SnapshotPart(
                            part, parts, java.util.Arrays.copyOfRange(content, from, to)));
        }
    }
}
