package org.quetzalscale.core.limit;

import java.util.Map;
import java.util.TreeMap;

/**
 * The block that a holder should have, from the limit row and the holder's own demand.
 *
 * @param target units that the holder should come to
 * @param granted units that it can have now: the target, but not below what it still uses
 */
record BlockPlan(int target, int granted) {
    /**
     * Plans the block of one holder.
     *
     * <p>While the demands together exceed the limit, each holder moves to its max-min fair part.
     * Otherwise a holder takes what it needs from the free units, and keeps units that it does not
     * need until another holder lacks them or the limit was lowered.
     *
     * @param wanted units that the holder would use
     * @param floor units that it still uses and can't return
     */
    static BlockPlan of(LimitRow row, String holder, int wanted, int floor) {
        int granted = row.block(holder).granted();
        int fair = fairPart(row, holder, wanted);
        int target = granted;
        if (granted < fair) {
            target = granted + Math.min(fair - granted, row.free());
        } else {
            int lacking = Math.max(unmetByOthers(row, holder) - row.free(), excess(row));
            if (lacking > 0) {
                target = Math.max(fair, granted - lacking);
            }
        }
        return new BlockPlan(target, Math.max(target, Math.min(floor, granted)));
    }

    /** Returns all that the holder does not use. */
    static BlockPlan returning(LimitRow row, String holder, int floor) {
        int granted = row.block(holder).granted();
        return new BlockPlan(Math.min(floor, granted), Math.min(floor, granted));
    }

    /** Units that other holders want and do not have. */
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

    /** The holder's max-min fair part of the limit; the remainder goes by holder name. */
    private static int fairPart(LimitRow row, String holder, int wanted) {
        Map<String, Integer> open = new TreeMap<>();
        row.blocks().forEach((name, block) -> open.put(name, block.wanted()));
        open.put(holder, wanted);
        int left = row.limit();
        while (!open.isEmpty()) {
            int part = left / open.size();
            Map<String, Integer> satisfied = new TreeMap<>();
            for (Map.Entry<String, Integer> entry : open.entrySet()) {
                if (entry.getValue() <= part) {
                    satisfied.put(entry.getKey(), entry.getValue());
                }
            }
            if (satisfied.containsKey(holder)) {
                return wanted;
            }
            if (satisfied.isEmpty()) {
                int rank = new TreeMap<>(open).headMap(holder).size();
                return part + (rank < left % open.size() ? 1 : 0);
            }
            for (int taken : satisfied.values()) {
                left -= taken;
            }
            open.keySet().removeAll(satisfied.keySet());
        }
        return wanted;
    }
}
