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
 * showed no newer revision: a read of the table, or statements of all other known instances.
 *
 * <p>An instance that ended or was replaced can no longer report a change that it accepted. If it
 * was removed while this copy was valid, it had not reported such a change as in force, so the
 * statements of the remaining instances suffice. If it was removed while this copy was not valid,
 * and in a process that has just started, their statements suffice only after a table read, or
 * after one of them, asked after the removal, stated that its own copy is valid. Not thread-safe.
 */
public final class ValidityTracker {
    /** Time for which a successful check makes the copy valid, in milliseconds. */
    public static final long VALIDITY_MILLIS = 3_000;

    /** Stands for the time of an event that has not happened. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 4;

    private final Function<Collection<OptionalLong>, OptionalLong> renewalRule;
    private final Map<InstanceId, TimedStatement> statements = new HashMap<>();
    private long tableReadMillis = NEVER_MILLIS;
    private Revision tableRevision = Revision.NONE;
    private long validUntilMillis = NEVER_MILLIS;
    private long removedMillis = NEVER_MILLIS;
    private boolean statementsSuffice;

    /** Starts with a copy that is not valid. */
    public ValidityTracker() {
        this(ValidityTracker::earliestOfAll);
    }

    /**
     * Starts with a copy that is not valid, and another renewal rule.
     *
     * @param renewalRule computes the start of the check from the time at which each known instance
     *     was asked, which is empty if its statement does not confirm the copy
     */
    ValidityTracker(Function<Collection<OptionalLong>, OptionalLong> renewalRule) {
        this.renewalRule = renewalRule;
    }

    /** The latest statement of an instance and the time at which it was asked. */
    private record TimedStatement(long askedMillis, Statement statement) {
        boolean confirms(Revision copy) {
            return !statement.seen().isNewerThan(copy);
        }

        boolean isOfValidCopy(Revision copy) {
            return statement.validForMillis() > 0 && !statement.applied().isNewerThan(copy);
        }
    }

    /** Returns whether the copy may be used. */
    public boolean isValid(long nowMillis) {
        return nowMillis < validUntilMillis;
    }

    /** Returns when the copy expires unless a check succeeds before that time. */
    public long validUntilMillis() {
        return validUntilMillis;
    }

    /**
     * Records the result of a table read.
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
     * Records a statement of another instance.
     *
     * @param askedMillis when it was asked
     */
    public void statement(InstanceId sibling, long askedMillis, Statement statement) {
        TimedStatement former = statements.get(sibling);
        if (former == null || askedMillis >= former.askedMillis()) {
            statements.put(sibling, new TimedStatement(askedMillis, statement));
        }
    }

    /** Removes a known instance that ended or was replaced by another process. */
    public void remove(InstanceId sibling, long nowMillis) {
        statements.remove(sibling);
        if (!isValid(nowMillis)) {
            statementsSuffice = false;
            removedMillis = nowMillis;
        }
    }

    /**
     * Extends the validity if the recorded checks allow it; called after each recorded input.
     *
     * @param copy the revision of this copy
     * @param known all other instances
     */
    public void evaluate(Revision copy, Set<InstanceId> known, long nowMillis) {
        if (!tableRevision.isNewerThan(copy)) {
            extend(tableReadMillis + VALIDITY_MILLIS);
        }
        if (isValid(nowMillis)) {
            statementsSuffice = true;
        }
        OptionalLong start = startOfStatements(copy, known);
        if (start.isEmpty() || nowMillis >= start.getAsLong() + VALIDITY_MILLIS) {
            return;
        }
        if (statementsSuffice || hasStatementOfValidCopy(copy, known)) {
            statementsSuffice = true;
            extend(start.getAsLong() + VALIDITY_MILLIS);
        }
    }

    private OptionalLong startOfStatements(Revision copy, Set<InstanceId> known) {
        if (known.isEmpty()) {
            return OptionalLong.empty();
        }
        List<OptionalLong> asked = new ArrayList<>();
        for (InstanceId sibling : known) {
            asked.add(
                    Optional.ofNullable(statements.get(sibling))
                            .filter(latest -> latest.confirms(copy))
                            .map(latest -> OptionalLong.of(latest.askedMillis()))
                            .orElseGet(OptionalLong::empty));
        }
        return renewalRule.apply(asked);
    }

    private boolean hasStatementOfValidCopy(Revision copy, Set<InstanceId> known) {
        return known.stream()
                .map(statements::get)
                .filter(Objects::nonNull)
                .anyMatch(
                        latest ->
                                latest.askedMillis() >= removedMillis
                                        && latest.isOfValidCopy(copy));
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
