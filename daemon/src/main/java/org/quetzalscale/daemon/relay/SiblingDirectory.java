package org.quetzalscale.daemon.relay;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.lease.SiblingRoster;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.daemon.fleet.LoopClock;
import org.tinylog.Logger;

/**
 * Registers the address of this instance's relay server and its processor cores in the store, and
 * reads those of its siblings.
 */
public final class SiblingDirectory {
    private static final String PREFIX = "nodes/fleet/";
    private static final long START_DELAY_MILLIS = 1_500;
    private static final long RETRY_INTERVAL_MILLIS = 500;
    private static final long REFRESH_INTERVAL_MILLIS = 3_000;

    private final InstanceId self;
    private final InetSocketAddress address;
    private final double cores;
    private final RelayedTable table;
    private final LoopClock clock;
    private final OwnerPreference preference;
    private final SiblingRoster roster = new SiblingRoster();
    private boolean stopped;
    private int siblingCount;

    /**
     * A sibling's row.
     *
     * @param cores processor cores that the sibling may use
     */
    private record Sibling(InetSocketAddress address, double cores) {}

    /**
     * Creates a directory.
     *
     * @param address address of this instance's relay server
     * @param cores processor cores that this instance may use
     * @param preference learns the cores of the siblings
     */
    public SiblingDirectory(
            InstanceId self,
            InetSocketAddress address,
            double cores,
            RelayedTable table,
            LoopClock clock,
            OwnerPreference preference) {
        this.self = self;
        this.address = address;
        this.cores = cores;
        this.table = table;
        this.clock = clock;
        this.preference = preference;
    }

    /**
     * Reads the siblings, and registers this instance after a delay, so that more urgent startup
     * work comes first.
     */
    public void start() {
        refresh();
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

    /** The number of instances that are registered, with this one. Runs on the event loop. */
    public int instanceCount() {
        return 1 + siblingCount;
    }

    private void register() {
        if (stopped) {
            return;
        }
        String text = address.getAddress().getHostAddress() + ":" + address.getPort() + ":" + cores;
        table.commit(Transaction.builder().put(key(self), text).build())
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
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
            Map<InstanceId, Sibling> siblings = new HashMap<>();
            snapshot.rows().forEach(row -> parseRow(row, siblings));
            boolean readable = siblings.size() == snapshot.rows().size();
            siblings.remove(self);
            roster.update(siblings.keySet(), clock.nowMillis());
            siblingCount = siblings.size();
            Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
            siblings.forEach((id, sibling) -> addresses.put(id, sibling.address()));
            table.updateSiblings(addresses, readable && roster.isComplete());
            preference.updateSiblings(siblings.values().stream().map(Sibling::cores).toList());
        }
        clock.after(REFRESH_INTERVAL_MILLIS, this::refresh);
    }

    /** Adds the sibling of a row ADDRESS:PORT:CORES; an IPv6 address has colons as well. */
    private static void parseRow(Row row, Map<InstanceId, Sibling> siblings) {
        String text = row.value();
        try {
            InstanceId id = new InstanceId(row.key().value().substring(PREFIX.length()));
            int coresIndex = text.lastIndexOf(':');
            int portIndex = text.lastIndexOf(':', coresIndex - 1);
            int port = Integer.parseInt(text.substring(portIndex + 1, coresIndex));
            InetSocketAddress address = new InetSocketAddress(text.substring(0, portIndex), port);
            double cores = Double.parseDouble(text.substring(coresIndex + 1));
            siblings.put(id, new Sibling(address, cores));
        } catch (RuntimeException e) {
            Logger.error("event=row_ignored key={} cause=\"{}\"", row.key(), e.toString());
        }
    }

    private static RowKey key(InstanceId id) {
        return new RowKey(PREFIX + id);
    }
}
