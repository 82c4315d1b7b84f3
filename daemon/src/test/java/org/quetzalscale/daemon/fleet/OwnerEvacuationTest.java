package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.task.RunEnd;

/** Owners whose only worker is in a zone that operators evacuate and restore. */
final class OwnerEvacuationTest extends OwnerFixture {
    private static final ZoneId ZONE = entry("i-1").zone();
    private static final String ROW = "op//evacuate/" + ZONE;

    /** Longer than the interval between plans and than the delay of a plan. */
    private static final long SEVERAL_PLANS_NANOS = 500_000_000;

    private void awaitKnown(Node node, Set<ZoneId> zones) {
        await("evacuated zones", () -> onLoop(node.policies::evacuatedZones).equals(zones));
    }

    private void assertNoStart() {
        LockSupport.parkNanos(SEVERAL_PLANS_NANOS);
        assertThat(worker.startsOf(FIRST)).isZero();
    }

    private void awaitStart() {
        await("first step", () -> worker.startsOf(FIRST) == 1);
    }

    private boolean jobIsKnown(Node node) {
        return onLoop(
                () ->
                        node.owner
                                .term()
                                .flatMap(term -> term.overview().job(JOB, clock.nowMillis()))
                                .isPresent());
    }

    /** Guards against starts in the zone (EVAC) between the two rows. */
    @Test
    void startsNothingUntilTheRowIsDeleted() {
        Node node = new Node("node-1");
        table.put(ROW, "{}");
        awaitKnown(node, Set.of(ZONE));
        submit();
        await("job", () -> jobIsKnown(node));
        assertNoStart();

        table.delete(ROW);
        awaitStart();
        node.stop();
    }

    /** Guards against a next step that starts in the zone where its job runs. */
    @Test
    void startsNoFurtherStepOfARunningJob() {
        Node node = new Node("node-1");
        submit();
        awaitStart();
        table.put(ROW, "{}");
        awaitKnown(node, Set.of(ZONE));
        worker.end(FIRST, RunEnd.DONE);
        await("end", () -> worker.acknowledged() == 1);
        LockSupport.parkNanos(SEVERAL_PLANS_NANOS);
        assertThat(worker.startsOf(SECOND)).isZero();

        table.delete(ROW);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        node.stop();
    }

    /** Guards against a new owner that starts the jobs it finds before it knows of evacuations. */
    @Test
    void holdsDuringATakeover() {
        Node first = new Node("node-1");
        table.put(ROW, "{}");
        awaitKnown(first, Set.of(ZONE));
        submit();
        first.kill();

        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        await("job", () -> jobIsKnown(second));
        assertNoStart();

        table.delete(ROW);
        awaitStart();
        second.stop();
    }

    /** Guards against a takeover by an instance whose feed has not told of the evacuation yet. */
    @Test
    void isReadAtTheStartOfATerm() {
        Node first = new Node("node-1");
        await("ownership", first.owner::isOwner);
        Node second = new Node("node-2");
        await("configuration", () -> onLoop(second.policies::current).isPresent());
        table.feedSilent = true;
        LockSupport.parkNanos(SEVERAL_PLANS_NANOS);
        table.put(ROW, "{}");
        first.kill();
        submit();

        await("takeover", second.owner::isOwner);
        await("job", () -> jobIsKnown(second));
        assertNoStart();
        second.stop();
    }

    /** Guards against an owner that forgets the evacuation while it is cut off from the store. */
    @Test
    void holdsWhileTheStoreIsUnavailable() {
        Node node = new Node("node-1");
        table.put(ROW, "{}");
        awaitKnown(node, Set.of(ZONE));
        submit();
        await("job", () -> jobIsKnown(node));
        table.unavailable = true;
        assertNoStart();
        table.unavailable = false;
        assertNoStart();

        table.delete(ROW);
        awaitStart();
        node.stop();
    }

    /** Guards against a zone that stays unused: the feed never told that its row was deleted. */
    @Test
    void endsWithARowThatWasDeletedInLostHistory() {
        Node node = new Node("node-1");
        table.put(ROW, "{}");
        awaitKnown(node, Set.of(ZONE));
        submit();
        await("job", () -> jobIsKnown(node));

        table.deleteUnseen(ROW);
        awaitStart();
        assertThat(onLoop(node.policies::evacuatedZones)).isEmpty();
        node.stop();
    }

    /** Guards against one unreadable key that keeps an instance from the rows of other zones. */
    @Test
    void ignoresKeysThatNameNoZone() {
        Node node = new Node("node-1");
        table.put("op//evacuate/", "{}");
        table.put("op//evacuate/not a zone", "{}");
        table.put(ROW, "{}");
        awaitKnown(node, Set.of(ZONE));
        node.stop();
    }
}
