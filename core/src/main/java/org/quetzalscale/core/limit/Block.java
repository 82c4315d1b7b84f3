package org.quetzalscale.core.limit;

/**
 * A holder's part of a team's upper limit.
 *
 * @param granted units that the holder may run
 * @param wanted units that it would use if it had them
 */
public record Block(int granted, int wanted) {
    /** Requires counts that are not negative. */
    public Block {
        if (granted < 0 || wanted < 0) {
            throw new IllegalArgumentException("negative block: " + granted + ", " + wanted);
        }
    }
}
