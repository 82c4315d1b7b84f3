package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.time.VirtualTime;

/**
 * Several instances, the table and the links between them, under virtual time. After each step it
 * checks that no instance accepts work under a revision older than one reported as in force, and
 * that no copy moved to a lower revision.
 */
final class ConfigSimulation {
    private static final int STEP_MILLIS = 50;
    private static final int PING_MILLIS = 500;
    private static final int CHECK_MILLIS = 1_000;
    private static final int DEAD_MILLIS = 2_000;
    private static final int MAX_DELAY_MILLIS = 200;
    private static final double MAX_CLOCK_ERROR = 0.03;

    final List<Node> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    long inForce;
    boolean tableDown;
    boolean listDown;
    private final Random random;
    private final Supplier<ValidityTracker> validity;
    private final List<Change> table = new ArrayList<>();
    private final VirtualTime time = new VirtualTime();

    ConfigSimulation(int instances, long seed, Supplier<ValidityTracker> validity) {
        this.random = new Random(seed);
        this.validity = validity;
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node("e" + i));
        }
    }

    void run(long millis) {
        long endMillis = time.nowMillis() + (millis + STEP_MILLIS - 1) / STEP_MILLIS * STEP_MILLIS;
        while (time.nowMillis() < endMillis) {
            time.advance(STEP_MILLIS);
            nodes.stream().filter(Node::isRunning).forEach(Node::step);
            nodes.forEach(Node::check);
        }
    }

    void freeze(Node node, long millis) {
        node.frozenUntilMillis = time.nowMillis() + millis;
    }

    private long delay() {
        return 1 + random.nextInt(MAX_DELAY_MILLIS);
    }

    private ConfigSnapshot tableSnapshot(int revision) {
        ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
        for (Change change : table.subList(0, revision)) {
            snapshot = snapshot.apply(change);
        }
        return snapshot;
    }

    /** One instance. */
    final class Node {
        final InstanceId id;
        final Set<Node> cutTo = new HashSet<>();
        boolean alive = true;
        boolean tableCut;
        boolean answersLost;
        boolean killAfterAnswer;
        ConfigState state;
        long frozenUntilMillis;
        private final double clockRate;
        private final Map<Node, Long> linkedSince = new HashMap<>();
        private final Set<Long> waitingFor = new HashSet<>();
        private long incarnation;
        private long lowestAllowed;

        Node(String name) {
            id = new InstanceId(name);
            clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_ERROR;
            state = new ConfigState(id, validity.get());
        }

        boolean isRunning() {
            return alive && time.nowMillis() >= frozenUntilMillis;
        }

        boolean isValid() {
            return isRunning() && state.isValid(clock());
        }

        long clock() {
            return (long) (time.nowMillis() * clockRate);
        }

        void kill() {
            alive = false;
        }

        /** Starts a new incarnation, empty or with a random earlier snapshot. */
        void restart(boolean fromArchive) {
            if (alive) {
                return;
            }
            alive = true;
            frozenUntilMillis = 0;
            incarnation++;
            lowestAllowed = 0;
            killAfterAnswer = false;
            state = new ConfigState(id, validity.get());
            linkedSince.clear();
            waitingFor.clear();
            if (fromArchive) {
                state.snapshot(tableSnapshot(random.nextInt(table.size() + 1)), clock());
            }
        }

        /** Accepts an operator's write if the table is reachable. */
        void write() {
            if (!isRunning() || tableDown || tableCut) {
                return;
            }
            Revision revision = new Revision(table.size() + 1);
            Change change =
                    new Change(
                            revision,
                            Kind.TEAMS,
                            "team-" + revision.value() % 3,
                            Optional.of(new TeamSpec(1, (int) revision.value())));
            table.add(change);
            if (!answersLost) {
                onSelf(delay(), node -> node.accepted(change));
            }
        }

        private void accepted(Change change) {
            state.change(change, clock());
            waitingFor.add(change.revision().value());
            for (Node other : nodes) {
                send(
                        other,
                        node -> {
                            node.state.change(change, node.clock());
                            Revision applied = node.state.snapshot().revision();
                            long process = node.incarnation;
                            node.send(this, self -> self.state.confirm(node.id, process, applied));
                        });
            }
        }

        private void step() {
            if (time.nowMillis() % PING_MILLIS == 0) {
                nodes.stream().filter(other -> other != this).forEach(this::connectOrPing);
                reportIfInForce(state.seen());
            }
            if (time.nowMillis() % CHECK_MILLIS == 0) {
                readTable();
                if (!listDown) {
                    state.list(nodes.stream().map(Node::member).toList(), clock());
                }
                if (state.seen().isNewerThan(state.snapshot().revision())) {
                    fetch();
                }
            }
            waitingFor.stream().map(Revision::new).toList().forEach(this::reportIfInForce);
        }

        private Member member() {
            return new Member(
                    id.value(), MemberRole.ENTRY, new ZoneId("z"), "10.0.0.1:1", MemberState.LIVE);
        }

        private void reportIfInForce(Revision revision) {
            if (alive && state.pending(revision, clock()).isEmpty()) {
                inForce = Math.max(inForce, revision.value());
                boolean answered = waitingFor.remove(revision.value());
                if (answered && killAfterAnswer) {
                    kill();
                }
            }
        }

        private void connectOrPing(Node other) {
            Long since = linkedSince.get(other);
            if (since != null && time.nowMillis() - since < DEAD_MILLIS) {
                ping(other);
                return;
            }
            linkedSince.remove(other);
            if (!other.alive) {
                boolean cut = cutTo.contains(other) || other.cutTo.contains(this);
                if (!cut) {
                    long calledMillis = clock();
                    onSelf(delay(), self -> self.refusedIfEnded(other, calledMillis));
                }
                return;
            }
            long process = incarnation;
            Set<InstanceId> mentioned = state.known();
            send(
                    other,
                    node -> {
                        node.state.hello(id, process, mentioned, node.clock());
                        long siblingIncarnation = node.incarnation;
                        Set<InstanceId> others = node.state.known();
                        node.send(
                                this,
                                self -> {
                                    self.linkedSince.put(node, time.nowMillis());
                                    self.state.helloAck(
                                            node.id, siblingIncarnation, others, self.clock());
                                });
                    });
        }

        private void refusedIfEnded(Node other, long calledMillis) {
            if (!other.alive) {
                state.refused(other.id, calledMillis, clock());
            }
        }

        private void ping(Node other) {
            long askedMillis = clock();
            send(
                    other,
                    node -> {
                        Statement statement = node.state.statement(node.clock());
                        long process = node.incarnation;
                        node.send(
                                this,
                                self -> {
                                    self.linkedSince.put(node, time.nowMillis());
                                    self.state.statement(
                                            node.id, process, askedMillis, statement, self.clock());
                                });
                    });
        }

        private void readTable() {
            long startMillis = clock();
            long firstHalf = delay();
            if (tableDown || tableCut) {
                return;
            }
            time.schedule(
                    firstHalf,
                    () -> {
                        Revision revision = new Revision(table.size());
                        onSelf(
                                delay(),
                                self -> self.state.tableRead(startMillis, revision, self.clock()));
                    });
        }

        private void fetch() {
            if (!tableDown && !tableCut) {
                ConfigSnapshot snapshot = tableSnapshot(table.size());
                onSelf(delay(), self -> self.state.snapshot(snapshot, self.clock()));
            }
            for (Node other : nodes) {
                send(
                        other,
                        node -> {
                            ConfigSnapshot snapshot = node.state.snapshot();
                            node.send(this, self -> self.state.snapshot(snapshot, self.clock()));
                        });
            }
        }

        private void send(Node target, Consumer<Node> action) {
            if (target == this || cutTo.contains(target)) {
                return;
            }
            time.schedule(
                    delay(),
                    () -> {
                        if (!cutTo.contains(target)) {
                            target.onSelf(0, action);
                        }
                    });
        }

        /** Runs the action in the current incarnation: after a freeze, and not if it has ended. */
        private void onSelf(long millis, Consumer<Node> action) {
            long process = incarnation;
            time.schedule(
                    millis,
                    () -> {
                        if (!alive || incarnation != process) {
                            return;
                        }
                        if (time.nowMillis() < frozenUntilMillis) {
                            onSelf(frozenUntilMillis - time.nowMillis(), action);
                            return;
                        }
                        action.accept(this);
                    });
        }

        private void check() {
            long revision = state.snapshot().revision().value();
            if (revision < lowestAllowed) {
                violations.add(id + " went back from " + lowestAllowed + " to " + revision);
            }
            lowestAllowed = revision;
            if (isValid() && revision < inForce) {
                violations.add(
                        id
                                + " accepts under "
                                + revision
                                + " at "
                                + time.nowMillis()
                                + " ms, with "
                                + inForce
                                + " in force");
            }
        }
    }
}
