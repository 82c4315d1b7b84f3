package org.quetzalscale.ctl.command;

/** A command, created by the parser from the command line. */
public interface CtlCommand {
    /** The options that all commands have. */
    CommonOptions options();

    /**
     * Runs the command.
     *
     * @throws org.quetzalscale.ctl.CtlException if it could not be done
     */
    void run(Session session);
}
