package org.quetzalscale.ctl;

/** Entry point of quetzalctl. */
public final class QuetzalscaleCtl {
    private QuetzalscaleCtl() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
