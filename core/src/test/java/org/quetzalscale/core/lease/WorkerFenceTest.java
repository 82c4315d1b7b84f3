package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class WorkerFenceTest {
    /** Guards against a later owner whose orders a worker rejects. */
    @Test
    void staysBelowTheTokensOfTheNextOwner() {
        WorkerFence fence = new WorkerFence(7);
        for (int count = 0; count < 2_000_000; count++) {
            fence.raise();
        }

        assertThat(fence.current()).isLessThan(new WorkerFence(8).current());
    }

    /** Guards against a token of this owner that is taken for one of a newer owner. */
    @Test
    void tellsItsOwnRaiseFromANewerOwner() {
        WorkerFence fence = new WorkerFence(7);
        long sent = fence.current();
        assertThat(fence.wasRaisedAfter(sent)).isFalse();

        fence.raise();

        assertThat(fence.wasRaisedAfter(sent)).isTrue();
        assertThat(fence.wasRaisedAfter(fence.current())).isFalse();
    }
}
