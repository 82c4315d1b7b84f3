package org.quetzalscale.core.table;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;

/** The load pattern: the store refuses a third of the instances for seconds, or all of them. */
final class StoreRouteTest {
    private static final InstanceId FIRST = new InstanceId("node-1");
    private static final InstanceId SECOND = new InstanceId("node-2");

    private final StoreRoute route = new StoreRoute();

    @BeforeEach
    void know() {
        route.siblings(List.of(FIRST, SECOND));
    }

    /** Guards against a detour while the store answers. */
    @Test
    void goesDirectlyWhileTheStoreAnswers() {
        assertThat(route.next(0)).isEmpty();
        assertThat(route.takeProbe(0)).isFalse();
    }

    @Nested
    final class WhenRefused {
        @BeforeEach
        void refuse() {
            route.directFailed(1_000);
        }

        /** Guards against calls to a store that refuses this instance, each of which fails. */
        @Test
        void goesThroughASibling() {
            assertThat(route.next(1_000)).contains(FIRST);
        }

        /** Guards against a sibling that is asked again and again though it can not help. */
        @Test
        void leavesASiblingAloneThatFailed() {
            route.siblingFailed(FIRST, false, 1_000);
            assertThat(route.next(1_000)).contains(SECOND);
            route.siblingFailed(SECOND, false, 1_001);
            assertThat(route.next(1_002)).isEmpty();
            assertThat(route.next(2_000)).contains(FIRST);
        }

        /** Guards against an instance that never returns to its own way, or asks all the time. */
        @Test
        void probesNowAndThen() {
            assertThat(route.takeProbe(1_100)).isFalse();
            assertThat(route.takeProbe(1_200)).isTrue();
            assertThat(route.takeProbe(1_250)).isFalse();
            route.directAnswered();
            assertThat(route.next(1_300)).isEmpty();
            assertThat(route.isDirect()).isTrue();
        }

        /** Guards against callers who are sent away though another instance can serve them. */
        @Test
        void tellsAnOutageForAllFromOneOfItsOwn() {
            route.siblingFailed(FIRST, false, 1_000);
            assertThat(route.isUnavailableToAll(1_000)).isFalse();
            route.siblingFailed(SECOND, true, 1_001);
            assertThat(route.isUnavailableToAll(1_001)).isTrue();
            assertThat(route.isUnavailableToAll(4_000)).isFalse();
            route.siblingFailed(SECOND, true, 4_001);
            route.directAnswered();
            assertThat(route.isUnavailableToAll(4_001)).isFalse();
        }

        /** Guards against a change of the sibling with each new list. */
        @Test
        void keepsTheSiblingThatHelped() {
            route.siblingFailed(FIRST, false, 1_000);
            route.siblings(List.of(FIRST, SECOND));
            assertThat(route.next(3_000)).contains(SECOND);
        }
    }
}
