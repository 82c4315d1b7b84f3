package org.quetzalscale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableFault;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.VirtualTime;

/** Tests that limits hold under random faults, and how units move between holders. */
class BlockHolderTest {
    private static final int STEPS = 800;
    private static final int SEEDS = 300;
    private static final TeamId TEAM = BlockHolderSimulation.TEAM;
    private static final RowKey ROW = RowKey.of("limit", TEAM.value());

    private final VirtualTime time = new VirtualTime();
    private final FaultyTable table = new FaultyTable(time);
    private final TextLimitRowCodec codec = new TextLimitRowCodec();
    private final HolderLivenessTracker liveness = new HolderLivenessTracker();
    private final List<TeamId> teamsWithNewUnits = new ArrayList<>();

    private BlockHolder holder(String name) {
        return new BlockHolder(
                new InstanceId(name),
                table,
                codec,
                time,
                other -> liveness.isReclaimable(other, time.nowMillis()),
                teamsWithNewUnits::add,
                Runnable::run);
    }

    private void setLimit(int limit) {
        LimitRow row =
                table.actual()
                        .read(ROW)
                        .toCompletableFuture()
                        .join()
                        .map(r -> codec.decode(r.value()))
                        .orElse(new LimitRow(0, Map.of()));
        table.actual()
                .commit(Transaction.builder().put(ROW, codec.encode(row.withLimit(limit))).build());
    }

    private LimitRow row() {
        return codec.decode(
                table.actual().read(ROW).toCompletableFuture().join().orElseThrow().value());
    }

    private static int acquire(BlockHolder holder, int count) {
        holder.addWaiting(TEAM, count);
        holder.tick();
        return (int) IntStream.range(0, count).filter(i -> holder.tryAcquire(TEAM)).count();
    }

    private static boolean exceedsLimit(
            long seed, int limit, boolean reclaimsAtLeaseExpiry, long quarantineMillis) {
        BlockHolderSimulation simulation =
                new BlockHolderSimulation(seed, limit, reclaimsAtLeaseExpiry, quarantineMillis);
        return IntStream.range(0, STEPS).anyMatch(i -> !simulation.step());
    }

    /** Invariant 4: a team never runs more requests across all instances than its upper limit. */
    @Property(tries = SEEDS, seed = "4")
    void neverRunsMoreThanTheLimit(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 10) int limit) {
        assertThat(exceedsLimit(seed, limit, false, BlockHolder.QUARANTINE_MILLIS)).isFalse();
    }

    /**
     * Guards against leaked units: after all faults have ended, the whole limit is usable again.
     */
    @Property(tries = 50, seed = "5")
    void usesTheWholeLimitAfterRecovery(@ForAll long seed) {
        BlockHolderSimulation simulation =
                new BlockHolderSimulation(seed, 8, false, BlockHolder.QUARANTINE_MILLIS);
        IntStream.range(0, STEPS).forEach(i -> simulation.step());
        assertThat(simulation.unitsAfterRecovery()).isEqualTo(simulation.limit());
    }

    /**
     * Checks that {@link #neverRunsMoreThanTheLimit} detects blocks that are reclaimed as soon as a
     * lease expires.
     */
    @Test
    void detectsBlocksReclaimedAtLeaseExpiry() {
        assertThat(
                        IntStream.range(0, SEEDS)
                                .anyMatch(
                                        seed ->
                                                exceedsLimit(
                                                        seed,
                                                        6,
                                                        true,
                                                        BlockHolder.QUARANTINE_MILLIS)))
                .isTrue();
    }

    /**
     * Checks that {@link #neverRunsMoreThanTheLimit} detects a restarted process that uses its
     * block without quarantine.
     */
    @Test
    void detectsAMissingQuarantine() {
        assertThat(IntStream.range(0, SEEDS).anyMatch(seed -> exceedsLimit(seed, 6, false, 0)))
                .isTrue();
    }

    /** Guards against units that stay with holders without demand. */
    @Nested
    class Rebalancing {
        @Test
        void takesUnitsAtTheFirstRequest() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            assertThat(first.tryAcquire(TEAM)).isFalse();
            assertThat(teamsWithNewUnits).containsExactly(TEAM);
            assertThat(first.tryAcquire(TEAM)).isTrue();
        }

        @Test
        void movesIdleUnitsToTheDemand() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            BlockHolder second = holder("i-2");
            assertThat(acquire(first, 4)).isEqualTo(4);
            IntStream.range(0, 4).forEach(i -> first.release(TEAM));
            first.addWaiting(TEAM, -4);
            assertThat(acquire(second, 4)).isZero();
            time.advance(2_000);
            first.tick();
            assertThat(acquire(second, 4)).isEqualTo(4);
        }

        @Test
        void splitsTheLimitWhenBothNeedAllOfIt() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            BlockHolder second = holder("i-2");
            assertThat(acquire(first, 4)).isEqualTo(4);
            second.addWaiting(TEAM, 8);
            second.tick();
            first.tick();
            first.release(TEAM);
            first.release(TEAM);
            assertThat(first.tryAcquire(TEAM)).isFalse();
            first.tick();
            second.tick();
            assertThat(second.tryAcquire(TEAM)).isTrue();
            assertThat(second.tryAcquire(TEAM)).isTrue();
            assertThat(second.tryAcquire(TEAM)).isFalse();
        }

        @Test
        void returnsUnitsAfterTheLimitWasLowered() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            assertThat(acquire(first, 4)).isEqualTo(4);
            setLimit(1);
            first.tick();
            IntStream.range(0, 3).forEach(i -> first.release(TEAM));
            assertThat(first.tryAcquire(TEAM)).isFalse();
            first.tick();
            assertThat(row().granted()).isEqualTo(1);
        }

        @Test
        void returnsAllUnitsAtAPlannedStop() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            acquire(first, 2);
            first.stop();
            assertThat(row().block("i-1").granted()).isEqualTo(2);
            first.release(TEAM);
            first.release(TEAM);
            first.tick();
            assertThat(first.isIdle()).isTrue();
            assertThat(row().blocks()).isEmpty();
        }
    }

    /** Guards against the use of units before their commit is known to have taken effect. */
    @Nested
    class TableFaults {
        @Test
        void usesUnitsAfterReadingThemBack() {
            setLimit(4);
            table.failCommits(TableFault.LOSE_ANSWER);
            assertThat(acquire(holder("i-1"), 4)).isEqualTo(4);
        }

        @Test
        void usesItsBlockWhileTheTableIsDown() {
            setLimit(4);
            BlockHolder first = holder("i-1");
            assertThat(acquire(first, 4)).isEqualTo(4);
            table.setDown(true);
            first.tick();
            first.release(TEAM);
            assertThat(first.tryAcquire(TEAM)).isTrue();
        }
    }

    /** Guards against reporting the limit as reached while another instance has unused units. */
    @Test
    void reportsWhetherTheLimitIsReached() {
        setLimit(2);
        BlockHolder first = holder("i-1");
        assertThat(first.isLimitReached(TEAM)).isFalse();
        acquire(first, 1);
        first.tick();
        assertThat(first.isLimitReached(TEAM)).isFalse();
        acquire(first, 1);
        assertThat(first.isLimitReached(TEAM)).isTrue();
    }
}
