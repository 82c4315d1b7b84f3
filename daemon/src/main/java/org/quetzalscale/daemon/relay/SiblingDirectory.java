package org.quetzalscale.daemon.relay;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.daemon.fleet.LoopClock;
import org.tinylog.Logger;

/**
 * Registers the address of this instance's relay server in the store, and reads those of its
 * siblings.
 */
public final class SiblingDirectory {
    private static final String PREFIX = "nodes/fleet/";
    private static final long START_DELAY_MILLIS = 1_500;
    private static final long RETRY_INTERVAL_MILLIS = 500;
    private static final long REFRESH_INTERVAL_MILLIS = 3_000;

    private final InstanceId self;
    private final InetSocketAddress address;
    private final RelayedTable table;
    private final LoopClock clock;
    private boolean stopped;

    /**
     * Creates a directory.
     *
     * @param address address of this instance's relay server
     */
    public SiblingDirectory(
            InstanceId self, InetSocketAddress address, RelayedTable table, LoopClock clock) {
        this.self = self;
        this.address = address;
        this.table = table;
        this.clock = clock;
    }

    /** Registers this instance after a delay, so that more urgent startup work comes first. */
    public void start() {
        clock.after(START_DELAY_MILLIS, this::register);
    }

    /**
     * Deletes the registration of this instance. The stage completes even if the store call fails.
     */
    public CompletionStage<Void> stop() {
        stopped = true;
        return table.commit(Transaction.builder().add(Mutation.delete(key(self))).build())
                .handle((result, failure) -> null);
    }

    private void register() {
        if (stopped) {
            return;
        }
        String text = address.getAddress().getHostAddress() + ":" + address.getPort();
        table.commit(Transaction.builder().put(key(self), text).build())
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null) {
                                refresh();
                            } else {
                                clock.after(RETRY_INTERVAL_MILLIS, this::register);
                            }
                        });
    }

    private void refresh() {
        if (stopped) {
            return;
        }
        table.snapshot(PREFIX).whenComplete(this::onSnapshot);
    }

    private void onSnapshot(RowSnapshot snapshot, Throwable failure) {
        if (failure == null) {
            Map<InstanceId, InetSocketAddress> siblings = new HashMap<>();
            for (Row row : snapshot.rows()) {
                InstanceId id = new InstanceId(row.key().value().substring(PREFIX.length()));
                if (!id.equals(self)) {
                    parseAddress(row).ifPresent(found -> siblings.put(id, found));
                }
            }
            table.updateSiblings(siblings);
        }
        clock.after(REFRESH_INTERVAL_MILLIS, this::refresh);
    }

    private static Optional<InetSocketAddress> parseAddress(Row row) {
        String[] parts = row.value().split(":");
        try {
            return Optional.of(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            Logger.error("event=row_ignored key={} cause=\"{}\"", row.key(), e.toString());
            return Optional.empty();
        }
    }

    private static RowKey key(InstanceId id) {
        return new RowKey(PREFIX + id);
    }
}
