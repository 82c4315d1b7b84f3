package org.quetzalscale.daemon.operator;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.LineSink;

/** The open watches of operators. */
final class Watches {
    private static final long BOOKMARK_MILLIS = 2_000;

    /** Interval at which watches with unwritable connections are retried. */
    private static final long RESUME_MILLIS = 100;

    private final ConfigService config;
    private final ResourceReader reader;
    private final EventLoopGroup group;
    private final Set<Watch> open = ConcurrentHashMap.newKeySet();
    private ScheduledFuture<?> bookmarks;
    private ScheduledFuture<?> resumptions;

    Watches(ConfigService config, ResourceReader reader, EventLoopGroup group) {
        this.config = config;
        this.reader = reader;
        this.group = group;
    }

    void start() {
        config.addListener(snapshot -> open.forEach(Watch::advance));
        bookmarks =
                group.scheduleAtFixedRate(
                        () -> open.forEach(Watch::bookmark),
                        BOOKMARK_MILLIS,
                        BOOKMARK_MILLIS,
                        TimeUnit.MILLISECONDS);
        resumptions =
                group.scheduleAtFixedRate(
                        () -> open.forEach(Watch::advance),
                        RESUME_MILLIS,
                        RESUME_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    void stop() {
        bookmarks.cancel(false);
        resumptions.cancel(false);
        open.forEach(Watch::close);
    }

    /**
     * Opens a watch. The stage fails with REVISION_TOO_OLD if the changes after the revision are no
     * longer kept, and with INVALID_FIELD if the revision is not reached yet.
     *
     * @param from the revision after which changes are sent, or empty for the current one
     */
    CompletionStage<HttpReply> open(Kind kind, Optional<Revision> from) {
        Revision present = config.snapshot().revision();
        Revision after = from.orElse(present);
        if (after.isNewerThan(config.statement().seen())) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    "from",
                    "from has the value " + after + ": the latest revision is " + present);
        }
        Optional<List<Change>> kept = config.changesAfter(after);
        if (kept.isPresent()) {
            return CompletableFuture.completedFuture(stream(kind, after, List.of()));
        }
        return config.readChangesAfter(after, present)
                .thenApply(
                        changes -> {
                            if (changes.size() < present.value() - after.value()) {
                                throw new QuetzalscaleException(
                                        ErrorKind.REVISION_TOO_OLD,
                                        "from",
                                        "the changes after revision "
                                                + after
                                                + " are no longer kept; the present revision is "
                                                + present);
                            }
                            return stream(kind, after, changes);
                        });
    }

    private HttpReply stream(Kind kind, Revision after, List<Change> older) {
        return HttpReply.lines(sink -> attach(kind, after, older, sink));
    }

    private void attach(Kind kind, Revision after, List<Change> older, LineSink sink) {
        Watch watch = new Watch(config, reader, kind, after, older, sink);
        sink.onClose(() -> open.remove(watch));
        open.add(watch);
        watch.bookmark();
    }
}
