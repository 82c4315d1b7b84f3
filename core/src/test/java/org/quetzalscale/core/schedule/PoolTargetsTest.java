package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.quetzalscale.core.id.PoolId;

final class PoolTargetsTest {
    private static final PoolId BUSY = new PoolId("busy");
    private static final PoolId QUIET = new PoolId("quiet");
    private static final PoolId OTHER = new PoolId("other");

    private final PoolTargets targets = new PoolTargets();

    private static Map<PoolId, PoolTargets.Need> needs(double busy, double quiet, double other) {
        Map<PoolId, PoolTargets.Need> needs = new LinkedHashMap<>();
        needs.put(BUSY, new PoolTargets.Need(2, busy));
        needs.put(QUIET, new PoolTargets.Need(2, quiet));
        needs.put(OTHER, new PoolTargets.Need(2, other));
        return needs;
    }

    /** Guards against one pool that gets all instances while another pool has a burst as well. */
    @Example
    void servesTheSameFractionOfEachNeed() {
        Map<PoolId, Integer> allocated = targets.allocate(needs(42, 22, 2), 36, 0);

        assertThat(allocated).containsEntry(BUSY, 22).containsEntry(QUIET, 12);
        assertThat(allocated).containsEntry(OTHER, 2);
    }

    /**
     * Guards against a pool that loses its instances between two bursts while no other pool needs
     * them.
     */
    @Example
    void keepsInstancesOfARecentNeed() {
        targets.allocate(needs(20, 2, 2), 40, 0);

        assertThat(targets.allocate(needs(2, 2, 2), 40, 500).get(BUSY)).isGreaterThan(10);
        assertThat(targets.allocate(needs(2, 2, 2), 40, 60_000).get(BUSY)).isEqualTo(2);
    }

    /** Guards against a past need that is served before a current one. */
    @Example
    void servesCurrentNeedBeforePastNeed() {
        targets.allocate(needs(20, 2, 2), 24, 0);

        Map<PoolId, Integer> allocated = targets.allocate(needs(2, 20, 2), 24, 100);

        assertThat(allocated).containsEntry(QUIET, 20).containsEntry(BUSY, 2);
    }

    /** Guards against targets that together exceed the number of instances. */
    @Property(tries = 500)
    void staysWithinTheTotal(
            @ForAll @Size(min = 1, max = 8) List<@DoubleRange(max = 90) Double> extraNeeds,
            @ForAll @IntRange(min = 16, max = 100) int total) {
        Map<PoolId, PoolTargets.Need> needs = new LinkedHashMap<>();
        for (double extraNeed : extraNeeds) {
            needs.put(new PoolId("pool-" + needs.size()), new PoolTargets.Need(2, 2 + extraNeed));
        }

        Map<PoolId, Integer> allocated = targets.allocate(needs, total, 0);

        int sum = allocated.values().stream().mapToInt(Integer::intValue).sum();
        // Each target is rounded to the nearest integer.
        assertThat(sum).isLessThanOrEqualTo(total + allocated.size() / 2);
        assertThat(allocated.values()).allMatch(target -> target >= 2);
    }
}
