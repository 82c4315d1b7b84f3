package org.quetzalscale.core.error;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** The unchecked exception of all modules; its kind determines the error response. */
public final class QuetzalscaleException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final String field;

    /** Creates an error that concerns no single field. */
    public QuetzalscaleException(ErrorKind kind, String message) {
        this(kind, null, message);
    }

    /**
     * Creates an error of one field.
     *
     * @param field the path of the field, such as {@code spec.share}, or null
     */
    public QuetzalscaleException(ErrorKind kind, String field, String message) {
        super(message);
        this.kind = kind;
        this.field = field;
    }

    /** Creates an error with a cause. */
    public QuetzalscaleException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
        this.field = null;
    }

    /**
     * Converts a failure to this type: unwraps an exception of this type that a future wrapped, and
     * wraps any other failure with kind INTERNAL.
     */
    public static QuetzalscaleException from(Throwable failure) {
        Throwable cause = failure;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof QuetzalscaleException known) {
            return known;
        }
        return new QuetzalscaleException(ErrorKind.INTERNAL, String.valueOf(cause), cause);
    }

    /** The kind, which determines the error response. */
    public ErrorKind kind() {
        return kind;
    }

    /** The invalid field, if the error concerns one. */
    public Optional<String> field() {
        return Optional.ofNullable(field);
    }
}
