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
 * The configuration state of one instance: its copy, whether the copy is valid, which other
 * instances it knows, and which changes are in force. Not thread-safe.
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

    /** Returns the current state of the copy. */
    public ConfigSnapshot snapshot() {
        return copy.snapshot();
    }

    /** Returns the changes after a revision in order, or empty if some are not kept here. */
    public Optional<List<Change>> changesAfter(Revision after) {
        return copy.changesAfter(after);
    }

    /** Returns whether the copy may be used for new work. */
    public boolean isValid(long nowMillis) {
        return validity.isValid(nowMillis);
    }

    /** Returns when the copy expires unless a check succeeds before that time. */
    public long validUntilMillis() {
        return validity.validUntilMillis();
    }

    /** Returns the highest revision that this instance knows of. */
    public Revision seen() {
        return seen;
    }

    /** Returns the other known instances. */
    public SortedSet<InstanceId> known() {
        return known.all();
    }

    /** Returns this instance's statement in answer to a sibling's request. */
    public Statement statement(long nowMillis) {
        long validForMillis = Math.max(0, validity.validUntilMillis() - nowMillis);
        return new Statement(seen, copy.revision(), isValid(nowMillis) ? validForMillis : 0);
    }

    /**
     * Returns the instances that may still accept work under a revision older than the given one.
     * They include this instance until it has applied the revision and received the platform's
     * list, without which it does not know which instances to wait for.
     */
    public SortedSet<InstanceId> pending(Revision revision, long nowMillis) {
        SortedSet<InstanceId> pending =
                new TreeSet<>(inForce.pending(revision, known.allWithRefusing(), nowMillis));
        if (!listKnown || revision.isNewerThan(copy.revision())) {
            pending.add(self);
        }
        return pending;
    }

    /** Applies a change; returns the changes that were applied because of it, in order. */
    public List<Change> change(Change change, long nowMillis) {
        learn(change.revision(), nowMillis);
        List<Change> applied = copy.offer(change);
        evaluate(nowMillis);
        return applied;
    }

    /** Offers a snapshot; returns whether it replaced the copy. */
    public boolean snapshot(ConfigSnapshot snapshot, long nowMillis) {
        learn(snapshot.revision(), nowMillis);
        boolean replaced = copy.offer(snapshot);
        evaluate(nowMillis);
        return replaced;
    }

    /**
     * Records the revision that a table read returned.
     *
     * @param startMillis when the read started
     */
    public void tableRead(long startMillis, Revision revision, long nowMillis) {
        learn(revision, nowMillis);
        validity.tableRead(startMillis, revision);
        evaluate(nowMillis);
    }

    /** Updates the known instances from the platform's list of entry instances. */
    public void list(List<Member> members, long nowMillis) {
        listKnown = true;
        Set<InstanceId> before = known.all();
        known.list(members);
        Set<InstanceId> removed = new HashSet<>(before);
        removed.removeAll(known.all());
        removed.forEach(id -> remove(id, nowMillis));
        evaluate(nowMillis);
    }

    /**
     * Records another instance's hello, or its acknowledgement of one.
     *
     * @param mentioned the instances that it knows
     */
    public void hello(
            InstanceId sibling, long incarnation, Set<InstanceId> mentioned, long nowMillis) {
        updateIncarnation(sibling, incarnation, nowMillis);
        known.addDiscovered(mentioned);
        evaluate(nowMillis);
    }

    /** Records that another instance acknowledged this instance's hello. */
    public void helloAck(
            InstanceId sibling, long incarnation, Set<InstanceId> mentioned, long nowMillis) {
        hello(sibling, incarnation, mentioned, nowMillis);
        inForce.acknowledge(sibling, nowMillis);
    }

    /**
     * Records that another instance's address refused a connection.
     *
     * @param calledMillis when the connection attempt started
     */
    public void refused(InstanceId sibling, long calledMillis, long nowMillis) {
        boolean wasKnown = known.all().contains(sibling);
        known.recordRefusal(sibling);
        if (wasKnown) {
            validity.remove(sibling, nowMillis);
        }
        inForce.recordEnd(sibling, calledMillis);
        evaluate(nowMillis);
    }

    /**
     * Records another instance's statement; ignored if it is of another incarnation.
     *
     * @param incarnation the incarnation that made it
     * @param askedMillis when it was asked
     */
    public void statement(
            InstanceId sibling,
            long incarnation,
            long askedMillis,
            Statement statement,
            long nowMillis) {
        if (known.incarnation(sibling).filter(latest -> latest == incarnation).isEmpty()) {
            return;
        }
        learn(statement.seen(), nowMillis);
        inForce.confirm(sibling, statement.applied());
        validity.statement(sibling, askedMillis, statement);
        evaluate(nowMillis);
    }

    /** Records that another instance applied a revision. */
    public void confirm(InstanceId sibling, long incarnation, Revision revision) {
        if (known.incarnation(sibling).filter(latest -> latest == incarnation).isPresent()) {
            inForce.confirm(sibling, revision);
        }
    }

    private void updateIncarnation(InstanceId sibling, long incarnation, long nowMillis) {
        Optional<Long> former = known.incarnation(sibling);
        known.recordHello(sibling, incarnation);
        if (former.isPresent() && former.get() == incarnation) {
            return;
        }
        inForce.remove(sibling);
        if (former.isPresent()) {
            validity.remove(sibling, nowMillis);
        }
    }

    private void remove(InstanceId sibling, long nowMillis) {
        validity.remove(sibling, nowMillis);
        inForce.remove(sibling);
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
