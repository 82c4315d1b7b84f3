package org.quetzalscale.core.limit;

import java.util.Map;
import java.util.TreeMap;

/**
 * The row {@code limit/<team>}: a team's upper limit and the blocks dealt from it.
 *
 * @param limit units that the team may run at once
 * @param blocks blocks by holder: an instance's id, or {@link #JOBS}
 */
public record LimitRow(int limit, Map<String, Block> blocks) {
    /** Holder of the units of running jobs. */
    public static final String JOBS = "jobs";

    /** Copies the blocks. */
    public LimitRow {
        blocks = Map.copyOf(blocks);
    }

    /** Units granted to all holders; above the limit only after the limit was lowered. */
    public int granted() {
        return blocks.values().stream().mapToInt(Block::granted).sum();
    }

    /** Units that no holder has; 0 after the limit was lowered below what is granted. */
    public int free() {
        return Math.max(0, limit - granted());
    }

    /** The block of a holder; empty if it has none. */
    public Block block(String holder) {
        return blocks.getOrDefault(holder, new Block(0, 0));
    }

    /**
     * The row with another block for one holder.
     *
     * @throws IllegalArgumentException if the holder gains more units than are free
     */
    public LimitRow withBlock(String holder, Block block) {
        if (block.granted() - block(holder).granted() > free()) {
            throw new IllegalArgumentException(
                    holder + " would get " + block.granted() + " units with " + free() + " free");
        }
        Map<String, Block> changed = new TreeMap<>(blocks);
        if (block.granted() == 0 && block.wanted() == 0) {
            changed.remove(holder);
        } else {
            changed.put(holder, block);
        }
        return new LimitRow(limit, changed);
    }

    /** The row with another limit; blocks above it come back as their holders return them. */
    public LimitRow withLimit(int newLimit) {
        return new LimitRow(newLimit, blocks);
    }
}
