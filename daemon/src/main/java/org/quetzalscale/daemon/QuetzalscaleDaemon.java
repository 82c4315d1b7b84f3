package org.quetzalscale.daemon;

/** Entry point of quetzalscaled. */
public final class QuetzalscaleDaemon {
    private QuetzalscaleDaemon() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
