package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;

/**
 * Guards against an owner that takes a restarting instance for gone, which takes the lease over
 * while the owner and all others are cut off together (TWICE).
 */
final class SiblingRosterTest {
    private static final InstanceId FIRST = new InstanceId("node-1");
    private static final InstanceId SECOND = new InstanceId("node-2");

    private final SiblingRoster roster = new SiblingRoster();

    SiblingRosterTest() {
        roster.update(Set.of(FIRST, SECOND), 0);
    }

    @Test
    void isCompleteWhileNoneHasLeft() {
        assertThat(roster.isComplete()).isTrue();
    }

    @Test
    void isIncompleteWhileAnInstanceMayRestart() {
        roster.update(Set.of(SECOND), 3_000);
        roster.update(Set.of(SECOND), 3_000 + SiblingRoster.REJOIN_MILLIS - 1);

        assertThat(roster.isComplete()).isFalse();
    }

    @Test
    void isCompleteAgainWhenTheInstanceIsBack() {
        roster.update(Set.of(SECOND), 3_000);
        roster.update(Set.of(FIRST, SECOND), 6_000);

        assertThat(roster.isComplete()).isTrue();
    }

    @Test
    void forgetsAnInstanceThatDoesNotReturn() {
        roster.update(Set.of(SECOND), 3_000);
        roster.update(Set.of(SECOND), 3_000 + SiblingRoster.REJOIN_MILLIS);

        assertThat(roster.isComplete()).isTrue();
    }
}
