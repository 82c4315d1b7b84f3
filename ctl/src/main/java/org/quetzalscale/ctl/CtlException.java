package org.quetzalscale.ctl;

import java.util.Optional;

/** The end of a command before it was done; the message is for the operator. */
public final class CtlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String errorCode;

    /** An end with an exit code. */
    public CtlException(ExitCode exitCode, String message) {
        this(exitCode, message, null);
    }

    private CtlException(ExitCode exitCode, String message, String errorCode) {
        super(message);
        this.exitCode = exitCode;
        this.errorCode = errorCode;
    }

    /** A refusal by the server with the code of its error kind, such as version_conflict. */
    public static CtlException refused(String errorCode, String message) {
        return new CtlException(ExitCode.REFUSED, message, errorCode);
    }

    /** This failure with text before its message. */
    public CtlException within(String context) {
        return new CtlException(exitCode, context + ": " + getMessage(), errorCode);
    }

    /** How the process ends. */
    public ExitCode exitCode() {
        return exitCode;
    }

    /** The code of the server's error kind, if the server refused. */
    public Optional<String> errorCode() {
        return Optional.ofNullable(errorCode);
    }
}
