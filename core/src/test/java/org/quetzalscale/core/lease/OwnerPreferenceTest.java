package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class OwnerPreferenceTest {
    /** Guards against owners that are too slow for the fleet while stronger instances live. */
    @Test
    void makesWeakInstancesWait() {
        OwnerPreference weak = new OwnerPreference(0.36);
        OwnerPreference strong = new OwnerPreference(1.5);
        weak.updateSiblings(List.of(0.36, 1.5));
        strong.updateSiblings(List.of(0.36, 1.5));

        assertThat(weak.waitMillis()).isPositive();
        assertThat(strong.waitMillis()).isZero();
    }

    /** Guards against slower takeovers in fleets whose instances are all alike. */
    @Test
    void doesNotDelayEqualInstancesOrThoseWithoutSiblings() {
        OwnerPreference instance = new OwnerPreference(0.75);
        assertThat(instance.waitMillis()).isZero();

        instance.updateSiblings(List.of(0.75, 1.0));
        assertThat(instance.waitMillis()).isZero();
    }
}
