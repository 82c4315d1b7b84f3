package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * showed no newer revision: a read of the table, or the word of every other known instance.
 *
 * <p>An instance that ended or was replaced can no longer tell of a change that it accepted. If it
 * was lost while this copy was valid, it had not called such a change in force, so the others' word
 * suffices from then on. If it was lost while this copy was not valid, and in a process that has
 * just started, their word suffices only after a table read, or after one of them, asked after the
 * loss, said that its own copy is valid. Not safe for use by several threads.
 */
public final class ValidityTracker {
    /** Time for which a successful check makes the copy valid, in milliseconds. */
    public static final long VALIDITY_MILLIS = 3_000;

    /** Time of a check that never was. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 4;

    private final Function<Collection<OptionalLong>, OptionalLong> renewalRule;
    private final Map<InstanceId, Word> words = new HashMap<>();
    private long tableReadMillis = NEVER_MILLIS;
    private Revision tableRevision = Revision.NONE;
    private long validUntilMillis = NEVER_MILLIS;
    private long lostMillis = NEVER_MILLIS;
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

    /** A word that is the latest of its instance. */
    private record Word(long askedMillis, Statement statement) {
        boolean confirms(Revision copy) {
            return !statement.seen().isNewerThan(copy);
        }

        boolean isOfValidCopy(Revision copy) {
            return statement.validForMillis() > 0 && !statement.applied().isNewerThan(copy);
        }
    }

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
     */
    public void statement(InstanceId sibling, long askedMillis, Statement statement) {
        Word former = words.get(sibling);
        if (former == null || askedMillis >= former.askedMillis()) {
            words.put(sibling, new Word(askedMillis, statement));
        }
    }

    /** Takes that a known instance ended or was replaced by another process. */
    public void lose(InstanceId sibling, long nowMillis) {
        words.remove(sibling);
        if (!isValid(nowMillis)) {
            wordsSuffice = false;
            lostMillis = nowMillis;
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
        OptionalLong start = startOfWords(copy, known);
        if (start.isEmpty() || nowMillis >= start.getAsLong() + VALIDITY_MILLIS) {
            return;
        }
        if (wordsSuffice || isVouchedFor(copy, known)) {
            wordsSuffice = true;
            extend(start.getAsLong() + VALIDITY_MILLIS);
        }
    }

    private OptionalLong startOfWords(Revision copy, Set<InstanceId> known) {
        if (known.isEmpty()) {
            return OptionalLong.empty();
        }
        List<OptionalLong> asked = new ArrayList<>();
        for (InstanceId sibling : known) {
            asked.add(
                    Optional.ofNullable(words.get(sibling))
                            .filter(word -> word.confirms(copy))
                            .map(word -> OptionalLong.of(word.askedMillis()))
                            .orElseGet(OptionalLong::empty));
        }
        return renewalRule.apply(asked);
    }

    private boolean isVouchedFor(Revision copy, Set<InstanceId> known) {
        return known.stream()
                .map(words::get)
                .filter(Objects::nonNull)
                .anyMatch(word -> word.askedMillis() >= lostMillis && word.isOfValidCopy(copy));
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
