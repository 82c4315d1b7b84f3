package org.quetzalscale.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.table.InMemoryTable;

class RegistrationTrackerTest {
    private static final InstanceId SELF = new InstanceId("i-1");
    private static final InstanceId FRESH = new InstanceId("i-2");
    private static final Revision REVISION = new Revision(5);

    private final RegistrationTracker tracker = new RegistrationTracker(SELF);

    /** Guards against "in force" before the registry was read, when a fresh instance is valid. */
    @Test
    void waitsUntilTheRegistryWasReadAfterTheCommit() {
        tracker.read(Set.of(SELF), new Revision(4), 0);
        assertThat(tracker.needsRead(REVISION)).isTrue();
        assertThat(tracker.pending(REVISION, Set.of(), 100_000)).containsExactly(SELF);
    }

    /** Guards against "in force" while an instance that the list lacks uses the revision before. */
    @Test
    void waitsForAnUnknownInstanceUntilItsValidityExpired() {
        tracker.read(Set.of(SELF, FRESH), REVISION, 1_000);
        long expiredMillis = 1_000 + InForceTracker.EXPIRY_MILLIS;
        assertThat(tracker.pending(REVISION, Set.of(), expiredMillis - 1)).containsExactly(FRESH);
        assertThat(tracker.pending(REVISION, Set.of(), expiredMillis)).isEmpty();
    }

    @Test
    void leavesKnownInstancesToTheirConfirmations() {
        tracker.read(Set.of(SELF, FRESH), REVISION, 1_000);
        assertThat(tracker.pending(REVISION, Set.of(FRESH), 1_000)).isEmpty();
    }

    /** Guards against waiting for instances that ended long ago. */
    @Test
    void forgetsRemovedRows() {
        InstanceRegistry registry = new InstanceRegistry(new InMemoryTable());
        registry.register(SELF, 1);
        registry.register(FRESH, 2);
        registry.remove(Set.of(FRESH));
        assertThat(registry.registered().toCompletableFuture().join()).containsExactly(SELF);
    }
}
