package org.quetzalscale.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/**
 * All decisions of one instance about the configuration: its copy, whether the copy is valid, which
 * other instances it knows, and which changes are in force. Not safe for use by several threads.
 */
public final class ConfigState {
    private final InstanceId self;
    private final ConfigCopy copy = new ConfigCopy();
    private final KnownInstances known;
    private final ValidityTracker validity;
    private final InForceTracker inForce = new InForceTracker();
    private Revision seen = Revision.NONE;
    private boolean listKnown;

    /** Starts with an empty copy that is not valid. */
    public ConfigState(InstanceId self) {
        this(self, new ValidityTracker());
    }

    ConfigState(InstanceId self, ValidityTracker validity) {
        this.self = self;
        this.known = new KnownInstances(self);
        this.validity = validity;
    }

    /** The present state of the copy. */
    public ConfigSnapshot snapshot() {
        return copy.snapshot();
    }

    /** The changes after a revision in order, or empty if some of them are not kept here. */
    public Optional<List<Change>> changesAfter(Revision after) {
        return copy.changesAfter(after);
    }

    /** Whether the copy may be used for new work. */
    public boolean isValid(long nowMillis) {
        return validity.isValid(nowMillis);
    }

    /** Time at which the copy stops being valid, unless a check succeeds before. */
    public long validUntilMillis() {
        return validity.validUntilMillis();
    }

    /** The highest revision heard of. */
    public Revision seen() {
        return seen;
    }

    /** The other known instances. */
    public SortedSet<InstanceId> known() {
        return known.all();
    }

    /** This instance's word, for another one that asks now. */
    public Statement statement(long nowMillis) {
        long validForMillis = Math.max(0, validity.validUntilMillis() - nowMillis);
        return new Statement(seen, copy.revision(), isValid(nowMillis) ? validForMillis : 0);
    }

    /**
     * The known instances that may still accept work under a revision older than the given one.
     * This instance is among them until it has applied the revision, and until it has had the
     * platform's list, without which it does not know whom to wait for.
     */
    public SortedSet<InstanceId> pending(Revision revision, long nowMillis) {
        SortedSet<InstanceId> pending =
                new TreeSet<>(inForce.pending(revision, known.allWithRefusing(), nowMillis));
        if (!listKnown || revision.isNewerThan(copy.revision())) {
            pending.add(self);
        }
        return pending;
    }

    /** Takes a change; returns the changes that were applied because of it, in order. */
    public List<Change> change(Change change, long nowMillis) {
        learn(change.revision(), nowMillis);
        List<Change> applied = copy.offer(change);
        evaluate(nowMillis);
        return applied;
    }

    /** Takes a snapshot; returns whether it replaced the copy. */
    public boolean snapshot(ConfigSnapshot snapshot, long nowMillis) {
        learn(snapshot.revision(), nowMillis);
        boolean replaced = copy.offer(snapshot);
        evaluate(nowMillis);
        return replaced;
    }

    /**
     * Takes the revision that a table read showed.
     *
     * @param startMillis when the read started
     */
    public void tableRead(long startMillis, Revision revision, long nowMillis) {
        learn(revision, nowMillis);
        validity.tableRead(startMillis, revision);
        evaluate(nowMillis);
    }

    /** Takes the platform's list of entry instances. */
    public void list(List<Member> members, long nowMillis) {
        listKnown = true;
        Set<InstanceId> before = known.all();
        known.list(members);
        Set<InstanceId> lost = new HashSet<>(before);
        lost.removeAll(known.all());
        lost.forEach(id -> lose(id, nowMillis));
        evaluate(nowMillis);
    }

    /**
     * Takes another instance's hello, or its acknowledgement of one.
     *
     * @param mentioned the instances that it knows
     */
    public void hello(
            InstanceId sibling, long incarnation, Set<InstanceId> mentioned, long nowMillis) {
        meet(sibling, incarnation, nowMillis);
        known.mention(mentioned);
        evaluate(nowMillis);
    }

    /** Takes that another instance acknowledged this instance's hello. */
    public void helloAck(
            InstanceId sibling, long incarnation, Set<InstanceId> mentioned, long nowMillis) {
        hello(sibling, incarnation, mentioned, nowMillis);
        inForce.acknowledge(sibling, nowMillis);
    }

    /**
     * Takes that another instance's address refused a connection.
     *
     * @param calledMillis when the connection was asked for
     */
    public void refused(InstanceId sibling, long calledMillis, long nowMillis) {
        boolean wasKnown = known.all().contains(sibling);
        known.refuse(sibling);
        if (wasKnown) {
            validity.lose(sibling, nowMillis);
        }
        inForce.end(sibling, calledMillis);
        evaluate(nowMillis);
    }

    /**
     * Takes another instance's word.
     *
     * @param incarnation the process that gave it
     * @param askedMillis when it was asked
     */
    public void statement(
            InstanceId sibling,
            long incarnation,
            long askedMillis,
            Statement statement,
            long nowMillis) {
        if (known.incarnation(sibling).filter(met -> met == incarnation).isEmpty()) {
            return;
        }
        learn(statement.seen(), nowMillis);
        inForce.confirm(sibling, statement.applied());
        validity.statement(sibling, askedMillis, statement);
        evaluate(nowMillis);
    }

    /** Takes that another instance applied a revision. */
    public void confirm(InstanceId sibling, long incarnation, Revision revision) {
        if (known.incarnation(sibling).filter(met -> met == incarnation).isPresent()) {
            inForce.confirm(sibling, revision);
        }
    }

    private void meet(InstanceId sibling, long incarnation, long nowMillis) {
        Optional<Long> former = known.incarnation(sibling);
        known.greet(sibling, incarnation);
        if (former.isPresent() && former.get() == incarnation) {
            return;
        }
        inForce.lose(sibling);
        if (former.isPresent()) {
            validity.lose(sibling, nowMillis);
        }
    }

    private void lose(InstanceId sibling, long nowMillis) {
        validity.lose(sibling, nowMillis);
        inForce.lose(sibling);
    }

    private void learn(Revision revision, long nowMillis) {
        if (revision.isNewerThan(seen)) {
            seen = revision;
            inForce.learn(revision, nowMillis);
        }
    }

    private void evaluate(long nowMillis) {
        validity.evaluate(copy.revision(), known.all(), nowMillis);
    }
}
