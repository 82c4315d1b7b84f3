package org.quetzalscale.standin.platform;

import java.util.Objects;

/**
 * One fault of one part of the platform.
 *
 * @param mode what happens to a call
 * @param delayMillis delay of SLOW, in ms
 * @param calls number of calls that the rule applies to, or 0 for all until it is removed
 * @param match text that must occur in the call's path, query or body; empty for every call
 * @param caller name of the only instance whose calls fail; empty for all
 */
public record FaultRule(
        FaultMode mode, Long delayMillis, Integer calls, String match, String caller) {
    /** Fills in absent parts: no delay, every call. */
    public FaultRule {
        Objects.requireNonNull(mode, "mode");
        delayMillis = Objects.requireNonNullElse(delayMillis, 0L);
        calls = Objects.requireNonNullElse(calls, 0);
        match = Objects.requireNonNullElse(match, "");
        caller = Objects.requireNonNullElse(caller, "");
    }

    /** A rule for every call until it is removed. */
    public static FaultRule always(FaultMode mode) {
        return new FaultRule(mode, 0L, 0, "", "");
    }
}
