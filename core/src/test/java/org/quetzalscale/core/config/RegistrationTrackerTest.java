package org.quetzalscale.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.table.InMemoryTable;

class RegistrationTrackerTest {
    private static final InstanceId SELF = new InstanceId("i-1");
    private static final InstanceId UNLISTED = new InstanceId("i-2");
    private static final Revision REVISION = new Revision(5);

    private final RegistrationTracker tracker = new RegistrationTracker(SELF);

    /**
     * Guards against reporting a change as in force before the registry was read, while an unlisted
     * instance may have a valid copy.
     */
    @Test
    void waitsUntilTheRegistryWasReadAfterTheCommit() {
        tracker.read(Set.of(SELF), new Revision(4), 0);
        assertThat(tracker.needsRead(REVISION)).isTrue();
        assertThat(tracker.pending(REVISION, Set.of(), 100_000)).containsExactly(SELF);
    }

    /** Guards against ignoring an unlisted instance that may use an older revision. */
    @Test
    void waitsForAnUnknownInstanceUntilItsValidityExpired() {
        tracker.read(Set.of(SELF, UNLISTED), REVISION, 1_000);
        long expiredMillis = 1_000 + InForceTracker.EXPIRY_MILLIS;
        assertThat(tracker.pending(REVISION, Set.of(), expiredMillis - 1))
                .containsExactly(UNLISTED);
        assertThat(tracker.pending(REVISION, Set.of(), expiredMillis)).isEmpty();
    }

    @Test
    void leavesKnownInstancesToTheirConfirmations() {
        tracker.read(Set.of(SELF, UNLISTED), REVISION, 1_000);
        assertThat(tracker.pending(REVISION, Set.of(UNLISTED), 1_000)).isEmpty();
    }

    /** Guards against waiting for instances that have ended. */
    @Test
    void forgetsRemovedRows() {
        InstanceRegistry registry = new InstanceRegistry(new InMemoryTable());
        registry.register(SELF, 1);
        registry.register(UNLISTED, 2);
        registry.remove(Set.of(UNLISTED));
        assertThat(registry.registered().toCompletableFuture().join()).containsExactly(SELF);
    }
}
