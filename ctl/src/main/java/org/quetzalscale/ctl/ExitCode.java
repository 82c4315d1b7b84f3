package org.quetzalscale.ctl;

/** How a command ended. */
public enum ExitCode {
    /** Everything was done. */
    DONE(0),
    /** The server, or a check before sending, refused the operation. */
    REFUSED(1),
    /** The command line or a file name is wrong; nothing was sent. */
    USAGE(2),
    /** No server answered. */
    UNREACHABLE(3),
    /** The change is accepted, but was not in force everywhere within the time limit. */
    TIMED_OUT(4);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** The exit code of the process. */
    public int value() {
        return value;
    }
}
