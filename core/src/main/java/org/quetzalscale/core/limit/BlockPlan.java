package org.quetzalscale.core.limit;

import java.util.Map;
import java.util.TreeMap;

/**
 * The planned block of a holder, computed from the limit row and the holder's demand.
 *
 * @param target units that the holder should have
 * @param granted units to record now: the target, but no fewer than the holder still uses
 */
record BlockPlan(int target, int granted) {
    /**
     * Plans the block of a holder.
     *
     * <p>If the total demand exceeds the limit, each holder moves towards its max-min fair share.
     * Otherwise a holder takes the units that it needs from the free ones, and keeps unused units
     * until another holder needs them or the limit is lowered.
     *
     * @param wanted demand of the holder, in units
     * @param inUse units that the holder still uses and can't return yet
     */
    static BlockPlan of(LimitRow row, String holder, int wanted, int inUse) {
        int granted = row.block(holder).granted();
        int fairShare = maxMinFairShare(row, holder, wanted);
        int target = granted;
        if (granted < fairShare) {
            target = granted + Math.min(fairShare - granted, row.free());
        } else {
            int shortage = Math.max(unmetByOthers(row, holder) - row.free(), excess(row));
            if (shortage > 0) {
                target = Math.max(fairShare, granted - shortage);
            }
        }
        return new BlockPlan(target, Math.max(target, Math.min(inUse, granted)));
    }

    /** Plans the return of all units that the holder does not use. */
    static BlockPlan returnUnused(LimitRow row, String holder, int inUse) {
        int granted = row.block(holder).granted();
        return new BlockPlan(Math.min(inUse, granted), Math.min(inUse, granted));
    }

    /** Total unmet demand of the other holders, in units. */
    static int unmetByOthers(LimitRow row, String holder) {
        int unmet = 0;
        for (Map.Entry<String, Block> entry : row.blocks().entrySet()) {
            if (!entry.getKey().equals(holder)) {
                unmet += Math.max(0, entry.getValue().wanted() - entry.getValue().granted());
            }
        }
        return unmet;
    }

    private static int excess(LimitRow row) {
        return Math.max(0, row.granted() - row.limit());
    }

    /**
     * The holder's max-min fair share of the limit. The remainder goes to the first holders by
     * name.
     */
    private static int maxMinFairShare(LimitRow row, String holder, int wanted) {
        Map<String, Integer> unsatisfied = new TreeMap<>();
        row.blocks().forEach((name, block) -> unsatisfied.put(name, block.wanted()));
        unsatisfied.put(holder, wanted);
        int remaining = row.limit();
        while (!unsatisfied.isEmpty()) {
            int equalShare = remaining / unsatisfied.size();
            Map<String, Integer> satisfied = new TreeMap<>();
            for (Map.Entry<String, Integer> entry : unsatisfied.entrySet()) {
                if (entry.getValue() <= equalShare) {
                    satisfied.put(entry.getKey(), entry.getValue());
                }
            }
            if (satisfied.containsKey(holder)) {
                return wanted;
            }
            if (satisfied.isEmpty()) {
                int rank = new TreeMap<>(unsatisfied).headMap(holder).size();
                return equalShare + (rank < remaining % unsatisfied.size() ? 1 : 0);
            }
            for (int demand : satisfied.values()) {
                remaining -= demand;
            }
            unsatisfied.keySet().removeAll(satisfied.keySet());
        }
        return wanted;
    }
}
