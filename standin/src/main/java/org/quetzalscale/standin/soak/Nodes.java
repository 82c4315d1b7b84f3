package org.quetzalscale.standin.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The nodes of a soak. */
final class Nodes {
    private static final StoreRows.Place EPOCH = new StoreRows.Place("lease", "fleet", "epoch");

    private final StoreRows rows;
    private List<NodeProcess> all = List.of();

    Nodes(StoreRows rows) {
        this.rows = rows;
    }

    /** Whether a row names the owner of the fleet. */
    static boolean isOwnerRow(StoreRows.Place place) {
        return place.equals(EPOCH);
    }

    /** The name of the node that the text of an owner row names; each start of it adds a suffix. */
    static String nameOf(String holder) {
        int suffix = holder.indexOf('.');
        return suffix < 0 ? holder : holder.substring(0, suffix);
    }

    void add(List<NodeProcess> nodes) {
        all = List.copyOf(nodes);
    }

    List<NodeProcess> all() {
        return all;
    }

    /** The node that acquired the owner's lease last. */
    Optional<NodeProcess> owner() {
        String name = nameOf(rows.text(EPOCH));
        return all.stream().filter(node -> node.name().equals(name)).findFirst();
    }

    /** The ids of the processes that live, by name. */
    Map<String, Long> pids() {
        Map<String, Long> pids = new HashMap<>();
        for (NodeProcess node : all) {
            if (node.isAlive()) {
                pids.put(node.name(), node.pid());
            }
        }
        return pids;
    }

    void stop() {
        all.forEach(NodeProcess::stop);
    }
}
