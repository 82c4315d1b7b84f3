package org.quetzalscale.standin;

/** Entry point of the stand-ins and tools. */
public final class StandinMain {
    private StandinMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
