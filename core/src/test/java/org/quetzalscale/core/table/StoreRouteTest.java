package org.quetzalscale.core.table;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;

/** Outages in which the store refuses a third of the instances for some seconds, or all of them. */
final class StoreRouteTest {
    private static final InstanceId FIRST = new InstanceId("node-1");
    private static final InstanceId SECOND = new InstanceId("node-2");
    private static final InstanceId THIRD = new InstanceId("node-3");

    private final StoreRoute route = new StoreRoute();

    @BeforeEach
    void addSiblings() {
        route.updateSiblings(List.of(FIRST, SECOND));
    }

    /** Guards against relaying calls while the store responds. */
    @Test
    void usesNoSiblingWhileTheStoreResponds() {
        assertThat(route.nextSibling(0)).isEmpty();
        assertThat(route.tryStartProbe(0)).isFalse();
    }

    @Nested
    final class AfterADirectFailure {
        @BeforeEach
        void failDirectCall() {
            route.onDirectFailure(1_000);
        }

        /** Guards against sending further calls to a store that refuses this instance. */
        @Test
        void usesASibling() {
            assertThat(route.nextSibling(1_000)).contains(FIRST);
        }

        /** Guards against repeated calls through a sibling that cannot reach the store. */
        @Test
        void pausesASiblingThatFailed() {
            route.onSiblingFailure(FIRST, false, 1_000);
            assertThat(route.nextSibling(1_000)).contains(SECOND);
            route.onSiblingFailure(SECOND, false, 1_001);
            assertThat(route.nextSibling(1_002)).isEmpty();
            assertThat(route.nextSibling(2_000)).contains(FIRST);
        }

        /** Guards against an instance that never returns to direct calls, or probes too often. */
        @Test
        void probesAtIntervals() {
            assertThat(route.tryStartProbe(1_100)).isFalse();
            assertThat(route.tryStartProbe(1_200)).isTrue();
            assertThat(route.tryStartProbe(1_250)).isFalse();
            route.onDirectSuccess();
            assertThat(route.nextSibling(1_300)).isEmpty();
            assertThat(route.isDirect()).isTrue();
        }

        /** Guards against sending callers away while another instance can serve them. */
        @Test
        void distinguishesAFullOutageFromItsOwn() {
            route.onSiblingFailure(FIRST, false, 1_000);
            assertThat(route.isUnavailableToAll(1_000)).isFalse();
            route.onSiblingFailure(SECOND, true, 1_001);
            assertThat(route.isUnavailableToAll(1_001)).isTrue();
            assertThat(route.isUnavailableToAll(4_000)).isFalse();
            route.onSiblingFailure(SECOND, true, 4_001);
            route.onDirectSuccess();
            assertThat(route.isUnavailableToAll(4_001)).isFalse();
        }

        /** Guards against relays that keep a partition full which refuses everybody. */
        @Test
        void pausesAfterTwoSiblingsWereRefusedThenAsksOnce() {
            route.updateSiblings(List.of(FIRST, SECOND, THIRD));
            refuse(FIRST, 1_000);
            assertThat(route.nextSibling(1_000)).contains(SECOND);
            refuse(SECOND, 1_001);
            assertThat(route.isRefusedToAll(1_001)).isTrue();
            assertThat(route.nextSibling(1_002)).isEmpty();
            route.onDirectSuccess();
            route.onDirectFailure(1_300);
            assertThat(route.nextSibling(1_300)).as("the pause outlasts a success").isEmpty();

            assertThat(route.nextSibling(1_501)).contains(THIRD);
            route.onSiblingCall(THIRD, 1_501);
            assertThat(route.nextSibling(1_502)).as("one call asks").isEmpty();
            route.onSiblingFailure(THIRD, true, 1_510);
            assertThat(route.nextSibling(2_005)).as("the next pause").isEmpty();
            assertThat(route.nextSibling(2_011)).contains(FIRST);
        }

        /** Guards against a pause that goes on although siblings are served. */
        @Test
        void relaysAgainOnceASiblingIsServed() {
            refuse(FIRST, 1_000);
            refuse(SECOND, 1_000);
            route.updateSiblings(List.of(FIRST, SECOND, THIRD));
            route.onSiblingCall(THIRD, 1_500);
            route.onSiblingSuccess();
            assertThat(route.nextSibling(1_501)).contains(THIRD);
            assertThat(route.isUnavailableToAll(1_501)).isFalse();
        }

        /** Guards against a pause that never ends because the sibling that was asked has left. */
        @Test
        void asksAgainWhenTheAskedSiblingWasNotReached() {
            refuse(FIRST, 1_000);
            refuse(SECOND, 1_000);
            route.updateSiblings(List.of(FIRST, SECOND, THIRD));
            route.onSiblingCall(THIRD, 1_500);
            route.updateSiblings(List.of(FIRST, SECOND));
            route.onSiblingFailure(THIRD, false, 1_800);
            assertThat(route.nextSibling(2_001)).isPresent();
        }

        private void refuse(InstanceId sibling, long nowMillis) {
            route.onSiblingCall(sibling, nowMillis);
            route.onSiblingFailure(sibling, true, nowMillis);
        }

        /** Guards against switching to another sibling with each new list. */
        @Test
        void keepsTheWorkingSiblingFirst() {
            route.onSiblingFailure(FIRST, false, 1_000);
            route.updateSiblings(List.of(FIRST, SECOND));
            assertThat(route.nextSibling(3_000)).contains(SECOND);
        }
    }
}
