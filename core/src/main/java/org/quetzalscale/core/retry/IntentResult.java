package org.quetzalscale.core.retry;

/** Result of {@link IntentLog#begin}. */
public sealed interface IntentResult {
    /** The intent is new: the caller must run the request. */
    record Proceed(Intent intent) implements IntentResult {}

    /** The request already ran: respond with its recorded outcome. */
    record Completed(RecordedOutcome outcome) implements IntentResult {}

    /** The request may have run, but its outcome was not recorded. */
    record Unknown() implements IntentResult {}
}
