package org.quetzalscale.core.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.TeamId;

class MaxMinShareTest {
    private static final Offset<Double> ROUNDING = within(1e-6);
    private static final Resources FLEET = new Resources(100, 1_000, 0, 80);

    private static TeamDemand demand(String team, double weight, int limit, Resources demand) {
        return new TeamDemand(new TeamId(team), weight, limit, demand);
    }

    private static Resources slots(double slots) {
        return new Resources(0, 0, 0, slots);
    }

    private static double slotsOf(Map<TeamId, Resources> shares, String team) {
        return shares.get(new TeamId(team)).slots();
    }

    @Nested
    class Division {
        @Test
        void aFullyUsedFleetIsDividedByWeight() {
            Map<TeamId, Resources> shares =
                    MaxMinShare.divide(
                            FLEET,
                            List.of(
                                    demand("a", 1, 100, slots(90)),
                                    demand("b", 3, 100, slots(90))));
            assertThat(slotsOf(shares, "a")).isCloseTo(20, ROUNDING);
            assertThat(slotsOf(shares, "b")).isCloseTo(60, ROUNDING);
        }

        /** Guards against capacity that stays unused while a team that may use it waits. */
        @Test
        void unusedCapacityGoesToOtherTeams() {
            Map<TeamId, Resources> shares =
                    MaxMinShare.divide(
                            FLEET,
                            List.of(
                                    demand("a", 1, 100, slots(10)),
                                    demand("b", 1, 30, slots(90)),
                                    demand("c", 1, 100, slots(90))));
            assertThat(slotsOf(shares, "a")).isCloseTo(10, ROUNDING);
            assertThat(slotsOf(shares, "b")).isCloseTo(30, ROUNDING);
            assertThat(slotsOf(shares, "c")).isCloseTo(40, ROUNDING);
        }

        @Test
        void teamsWithDifferentDominantResourcesGetEqualDominantShares() {
            Resources cores = new Resources(100, 100, 0, 10);
            Resources memory = new Resources(10, 1_000, 0, 10);
            Map<TeamId, Resources> shares =
                    MaxMinShare.divide(
                            FLEET,
                            List.of(demand("a", 1, 100, cores), demand("b", 1, 100, memory)));
            double shareOfA = shares.get(new TeamId("a")).dominantPart(FLEET);
            double shareOfB = shares.get(new TeamId("b")).dominantPart(FLEET);
            assertThat(shareOfA).isCloseTo(shareOfB, ROUNDING);
            assertThat(shareOfA).isGreaterThan(0.9);
        }

        /**
         * Guards against allocating more than the capacity, or leaving usable capacity unallocated.
         */
        @Property(tries = 300, seed = "99")
        void sharesStayWithinBoundsAndUnmetDemandHasAnExhaustedResource(@ForAll long seed) {
            Random random = new Random(seed);
            List<TeamDemand> demands = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(7); i++) {
                Resources wanted =
                        new Resources(
                                random.nextInt(120),
                                random.nextInt(1_500),
                                0,
                                1 + random.nextInt(90));
                demands.add(demand("t" + i, 0.1 + random.nextDouble(), random.nextInt(90), wanted));
            }
            Map<TeamId, Resources> shares = MaxMinShare.divide(FLEET, demands);
            Resources sum = Resources.NONE;
            for (TeamDemand demand : demands) {
                Resources share = shares.get(demand.team());
                assertThat(share.fitsIn(demand.limitedDemand())).isTrue();
                sum = sum.plus(share);
            }
            assertThat(sum.fitsIn(FLEET)).isTrue();
            Resources free = FLEET.minus(sum);
            for (TeamDemand demand : demands) {
                Resources shortfall = demand.limitedDemand().minus(shares.get(demand.team()));
                boolean satisfied = shortfall.dominantPart(FLEET) < 1e-6;
                boolean exhausted =
                        shortfall.cores() > 0 && free.cores() < 1e-4
                                || shortfall.memoryMib() > 0 && free.memoryMib() < 1e-4
                                || shortfall.slots() > 0 && free.slots() < 1e-4;
                assertThat(satisfied || exhausted).isTrue();
            }
        }
    }

    @Nested
    class Distance {
        @Test
        void distanceIsTheUnusedFractionOfTheEntitlementOverTime() {
            TeamId team = new TeamId("a");
            ShareMeter meter = new ShareMeter();
            meter.observe(0, FLEET, Map.of(team, slots(40)), Map.of(team, slots(40)));
            meter.observe(1_000, FLEET, Map.of(team, slots(40)), Map.of(team, slots(20)));
            meter.observe(2_000, FLEET, Map.of(), Map.of());
            assertThat(meter.distance(team)).isCloseTo(0.25, ROUNDING);
        }
    }
}
