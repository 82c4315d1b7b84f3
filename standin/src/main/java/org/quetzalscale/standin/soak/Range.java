package org.quetzalscale.standin.soak;

import java.util.Random;

/** Whole numbers from the least to the greatest, both included. */
record Range(int least, int greatest) {
    Range {
        if (least > greatest) {
            throw new IllegalArgumentException(least + " is more than " + greatest);
        }
    }

    int draw(Random random) {
        return least + random.nextInt(greatest - least + 1);
    }
}
