package org.quetzalscale.core.retry;

/** What {@link IntentLog#begin} found. */
public sealed interface IntentResult {
    /** The intent is new: run the request. */
    record Proceed(Intent intent) implements IntentResult {}

    /** The request ran before: answer with its outcome. */
    record Completed(RecordedOutcome outcome) implements IntentResult {}

    /** The request may have run, but its outcome is not recorded. */
    record Unknown() implements IntentResult {}
}
