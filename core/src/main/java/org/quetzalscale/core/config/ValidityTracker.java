package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/**
 * Decides until when this instance's copy of the configuration may be used.
 *
 * <p>The copy is valid for {@link #VALIDITY_MILLIS} from the start of the last freshness check that
 * showed no newer revision: a read of the table, or the word of every other known instance. An
 * instance whose copy is not valid may also use it as long as an instance whose copy is valid.
 *
 * <p>An instance that ended or was replaced can no longer tell of a change that it accepted. If it
 * was lost while this copy was valid, it had not called such a change in force, so the others' word
 * suffices from then on. If it was lost while this copy was not valid, only the table or an
 * instance with a valid copy can make the copy valid again. Not safe for use by several threads.
 */
public final class ValidityTracker {
    /** Time for which a successful check makes the copy valid, in milliseconds. */
    public static final long VALIDITY_MILLIS = 3_000;

    /** Time of a check that never was. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 4;

    /** Part of another instance's remaining validity that is used, as clocks differ in speed. */
    private static final double CLOCK_MARGIN = 0.9;

    private final Function<Collection<OptionalLong>, OptionalLong> renewalRule;
    private final Map<InstanceId, Word> words = new HashMap<>();
    private long tableReadMillis = NEVER_MILLIS;
    private Revision tableRevision = Revision.NONE;
    private long validUntilMillis = NEVER_MILLIS;
    private boolean wordsSuffice;

    /** Starts with a copy that is not valid. */
    public ValidityTracker() {
        this(ValidityTracker::earliestOfAll);
    }

    /**
     * Starts with another rule.
     *
     * @param renewalRule the start of the check, given for each known instance the time at which it
     *     was asked, or empty if its word does not confirm the copy
     */
    ValidityTracker(Function<Collection<OptionalLong>, OptionalLong> renewalRule) {
        this.renewalRule = renewalRule;
    }

    private record Word(long askedMillis, Revision seen) {}

    /** Whether the copy may be used. */
    public boolean isValid(long nowMillis) {
        return nowMillis < validUntilMillis;
    }

    /** Time at which the copy stops being valid, unless a check succeeds before. */
    public long validUntilMillis() {
        return validUntilMillis;
    }

    /**
     * Takes the result of a table read.
     *
     * @param startMillis when the read started
     */
    public void tableRead(long startMillis, Revision revision) {
        if (startMillis >= tableReadMillis) {
            tableReadMillis = startMillis;
            tableRevision = revision;
        }
    }

    /**
     * Takes the word of another instance.
     *
     * @param askedMillis when it was asked
     * @param copy the revision of this copy
     */
    public void statement(
            InstanceId sibling, long askedMillis, Statement statement, Revision copy) {
        Word former = words.get(sibling);
        if (former == null || askedMillis >= former.askedMillis()) {
            words.put(sibling, new Word(askedMillis, statement.seen()));
        }
        if (!statement.applied().isNewerThan(copy)) {
            extend(askedMillis + (long) (statement.validForMillis() * CLOCK_MARGIN));
        }
    }

    /** Takes that a known instance ended or was replaced by another process. */
    public void lose(InstanceId sibling, long nowMillis) {
        words.remove(sibling);
        if (!isValid(nowMillis)) {
            wordsSuffice = false;
        }
    }

    /**
     * Draws the conclusions; called after each change of the other inputs.
     *
     * @param copy the revision of this copy
     * @param known all other instances
     */
    public void evaluate(Revision copy, Set<InstanceId> known, long nowMillis) {
        if (!tableRevision.isNewerThan(copy)) {
            extend(tableReadMillis + VALIDITY_MILLIS);
        }
        if (isValid(nowMillis)) {
            wordsSuffice = true;
        }
        if (!wordsSuffice || known.isEmpty()) {
            return;
        }
        List<OptionalLong> asked = new ArrayList<>();
        for (InstanceId sibling : known) {
            asked.add(
                    Optional.ofNullable(words.get(sibling))
                            .filter(word -> !word.seen().isNewerThan(copy))
                            .map(word -> OptionalLong.of(word.askedMillis()))
                            .orElseGet(OptionalLong::empty));
        }
        OptionalLong start = renewalRule.apply(asked);
        if (start.isPresent()) {
            extend(start.getAsLong() + VALIDITY_MILLIS);
        }
    }

    private void extend(long untilMillis) {
        validUntilMillis = Math.max(validUntilMillis, untilMillis);
    }

    private static OptionalLong earliestOfAll(Collection<OptionalLong> asked) {
        if (asked.stream().anyMatch(OptionalLong::isEmpty)) {
            return OptionalLong.empty();
        }
        return asked.stream().mapToLong(OptionalLong::getAsLong).min();
    }
}
