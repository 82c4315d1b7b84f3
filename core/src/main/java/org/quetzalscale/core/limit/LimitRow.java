package org.quetzalscale.core.limit;

import java.util.Map;
import java.util.TreeMap;

/**
 * The row {@code limit/<team>}: a team's upper limit and the blocks granted from it.
 *
 * @param limit units that the team may use at the same time, across all holders
 * @param blocks blocks by holder, which is an instance id or {@link #JOBS}
 */
public record LimitRow(int limit, Map<String, Block> blocks) {
    /** The holder of the units that running jobs use. */
    public static final String JOBS = "jobs";

    /** Copies the blocks. */
    public LimitRow {
        blocks = Map.copyOf(blocks);
    }

    /** Units granted to all holders. Exceeds the limit only after the limit was lowered. */
    public int granted() {
        return blocks.values().stream().mapToInt(Block::granted).sum();
    }

    /** Units granted to no holder; 0 if the limit was lowered below the granted units. */
    public int free() {
        return Math.max(0, limit - granted());
    }

    /** The block of a holder, or a block of 0 units if it has none. */
    public Block block(String holder) {
        return blocks.getOrDefault(holder, new Block(0, 0));
    }

    /**
     * A copy of the row with a new block for one holder.
     *
     * @throws IllegalArgumentException if the holder would gain more units than are free
     */
    public LimitRow withBlock(String holder, Block block) {
        if (block.granted() - block(holder).granted() > free()) {
            throw new IllegalArgumentException(
                    holder
                            + " would be granted "
                            + block.granted()
                            + " units, but only "
                            + free()
                            + " more are free");
        }
        Map<String, Block> newBlocks = new TreeMap<>(blocks);
        if (block.granted() == 0 && block.wanted() == 0) {
            newBlocks.remove(holder);
        } else {
            newBlocks.put(holder, block);
        }
        return new LimitRow(limit, newBlocks);
    }

    /**
     * A copy of the row with a new limit. If it is below the granted units, the holders return the
     * excess later.
     */
    public LimitRow withLimit(int newLimit) {
        return new LimitRow(newLimit, blocks);
    }
}
