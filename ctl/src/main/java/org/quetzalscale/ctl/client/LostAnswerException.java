package org.quetzalscale.ctl.client;

/** A write that may have taken effect, because its answer did not arrive. */
final class LostAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    LostAnswerException(String message) {
        super(message);
    }
}
