package org.quetzalscale.core.limit;

/**
 * The units of a team's upper limit that are granted to one holder.
 *
 * @param granted units that the holder may use
 * @param wanted units that the holder could use at present: its demand
 */
public record Block(int granted, int wanted) {
    /** Rejects negative counts. */
    public Block {
        if (granted < 0 || wanted < 0) {
            throw new IllegalArgumentException(
                    "negative block: granted " + granted + ", wanted " + wanted);
        }
    }
}
