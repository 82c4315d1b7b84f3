package org.quetzalscale.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;

/**
 * Limits the running requests of each team to the block of units that the row {@code limit/<team>}
 * grants to this instance. Blocks are rebalanced among the instances according to their demand.
 *
 * <p>A unit is usable only if the row grants it to this instance under every possible result of the
 * commits whose result is unknown. Therefore units stop being usable before the commit that returns
 * them, and become usable only after the commit that takes them is known to have taken effect. At
 * most one transaction is in flight. Thread-safe.
 */
public final class BlockHolder implements TeamLimiter {
    /** Period in which {@link #tick} must be called, in milliseconds. */
    public static final long TICK_MILLIS = 1_000;

    /**
     * Time for which a restarted process does not use the block of the previous process, in
     * milliseconds. Requests of the previous process may run that long.
     */
    public static final long QUARANTINE_MILLIS = QueueSpec.MAX_TIMEOUT_MILLIS;

    private static final String ROW_PREFIX = "limit/";
    private static final int SHARD_COUNT = 16;
    private static final int MAX_ATTEMPTS = 3;
    private static final long TICK_REQUEST_PERIOD_MILLIS = 200;

    private final String self;
    private final TransactionalTable table;
    private final RowCodec<LimitRow> codec;
    private final TimeSource time;
    private final Predicate<String> isReclaimable;
    private final Consumer<TeamId> onUnitsGained;
    private final Executor executor;
    private final long quarantineEndMillis;
    private final List<Shard> shards = new ArrayList<>();
    private final AtomicBoolean tickInFlight = new AtomicBoolean();
    private volatile CompletionStage<Void> currentTick = CompletableFuture.completedFuture(null);
    private volatile boolean stopping;
    private boolean hasReadRows;

    /**
     * Creates a holder that has no usable units before its first tick.
     *
     * @param isReclaimable whether other instances may return the block of a holder, such as {@link
     *     HolderLivenessTracker#isReclaimable}
     * @param onUnitsGained called with each team that gained usable units, without any lock held
     * @param executor runs the ticks that a failed {@link #tryAcquire} requests; must not run them
     *     in the calling thread
     */
    public BlockHolder(
            InstanceId self,
            TransactionalTable table,
            RowCodec<LimitRow> codec,
            TimeSource time,
            Predicate<String> isReclaimable,
            Consumer<TeamId> onUnitsGained,
            Executor executor) {
        this(self, table, codec, time, isReclaimable, onUnitsGained, executor, QUARANTINE_MILLIS);
    }

    BlockHolder(
            InstanceId self,
            TransactionalTable table,
            RowCodec<LimitRow> codec,
            TimeSource time,
            Predicate<String> isReclaimable,
            Consumer<TeamId> onUnitsGained,
            Executor executor,
            long quarantineMillis) {
        this.self = self.value();
        this.table = table;
        this.codec = codec;
        this.time = time;
        this.isReclaimable = isReclaimable;
        this.onUnitsGained = onUnitsGained;
        this.executor = executor;
        this.quarantineEndMillis = time.nowMillis() + quarantineMillis;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    @Override
    public boolean tryAcquire(TeamId team) {
        long nowMillis = time.nowMillis();
        boolean requestsTick = false;
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            if (!stopping && block.tryAcquire(nowMillis)) {
                return true;
            }
            if (!stopping
                    && nowMillis - block.lastTickRequestMillis >= TICK_REQUEST_PERIOD_MILLIS) {
                block.lastTickRequestMillis = nowMillis;
                requestsTick = true;
            }
        } finally {
            shard.lock.unlock();
        }
        if (requestsTick) {
            executor.execute(this::tick);
        }
        return false;
    }

    @Override
    public void release(TeamId team) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            shard.block(team).running--;
        } finally {
            shard.lock.unlock();
        }
    }

    @Override
    public boolean isLimitReached(TeamId team) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            return block.hasRow
                    && block.running + block.quarantined + block.usedByOthers >= block.limit;
        } finally {
            shard.lock.unlock();
        }
    }

    @Override
    public void addWaiting(TeamId team, int change) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            shard.block(team).waiting += change;
        } finally {
            shard.lock.unlock();
        }
    }

    /** Units of the team that this instance uses. */
    public int running(TeamId team) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            return shard.block(team).running;
        } finally {
            shard.lock.unlock();
        }
    }

    /** Units of the team's limit that this instance holds, including those in quarantine. */
    public int held(TeamId team) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            return block.usable + block.quarantined;
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Stops granting units. Each unit in use is returned by the first tick after its release.
     *
     * @return a stage that completes once the unused units were returned or their return has failed
     */
    public CompletionStage<Void> stop() {
        stopping = true;
        // A tick in flight may have planned its changes before the stop, so another one follows.
        return tick().thenCompose(ignored -> tick());
    }

    /** Whether no unit is in use. After {@link #stop}, the next tick then returns all blocks. */
    public boolean isIdle() {
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                if (shard.blocks.values().stream().anyMatch(block -> block.running > 0)) {
                    return false;
                }
            } finally {
                shard.lock.unlock();
            }
        }
        return true;
    }

    /**
     * Reads the limit rows and rebalances this instance's blocks in one transaction. If a tick is
     * already in flight, returns the stage of that tick. The stage never fails; the next tick
     * retries what a failed tick did not do.
     */
    public CompletionStage<Void> tick() {
        if (!tickInFlight.compareAndSet(false, true)) {
            return currentTick;
        }
        CompletableFuture<Void> tickDone = new CompletableFuture<>();
        currentTick = tickDone;
        rebalance(1)
                .whenComplete(
                        (ignored, failure) -> {
                            tickInFlight.set(false);
                            tickDone.complete(null);
                        });
        return tickDone;
    }

    private CompletionStage<Void> rebalance(int attempt) {
        // Calls the table inside the stage, so that an exception it throws also completes the tick.
        return CompletableFuture.completedFuture(ROW_PREFIX)
                .thenCompose(table::scan)
                .thenCompose(rows -> commitChanges(rows, attempt));
    }

    private CompletionStage<Void> commitChanges(List<Row> rows, int attempt) {
        List<LimitRowChange> changes = new ArrayList<>();
        Set<TeamId> teamsWithRow = new HashSet<>();
        for (Row row : rows) {
            TeamId team = new TeamId(row.key().value().substring(ROW_PREFIX.length()));
            teamsWithRow.add(team);
            updateBlock(team, row).ifPresent(changes::add);
        }
        hasReadRows = true;
        withdrawTeamsWithoutRow(teamsWithRow);
        if (changes.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        Transaction.Builder transaction = Transaction.builder();
        changes.forEach(
                change -> transaction.replace(change.row(), codec.encode(change.changed())));
        return table.commit(transaction.build())
                .handle((result, failure) -> handleCommitResult(changes, result, failure))
                .thenCompose(
                        retry ->
                                retry && attempt < MAX_ATTEMPTS
                                        ? rebalance(attempt + 1)
                                        : CompletableFuture.completedFuture(null));
    }

    /** Updates the local block from the row, and plans this instance's change of the row. */
    private Optional<LimitRowChange> updateBlock(TeamId team, Row row) {
        LimitRow stored = codec.decode(row.value());
        LimitRow reclaimed = withoutReclaimableBlocks(stored);
        long nowMillis = time.nowMillis();
        boolean gainedUnits;
        Optional<LimitRowChange> change;
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            int granted = stored.block(self).granted();
            if (!hasReadRows) {
                block.quarantined = granted;
            }
            block.quarantined =
                    nowMillis >= quarantineEndMillis ? 0 : Math.min(block.quarantined, granted);
            block.hasRow = true;
            block.limit = stored.limit();
            block.usedByOthers = usedByOthers(reclaimed);
            int bound = Math.min(granted - block.quarantined, block.unresolvedBound(row.version()));
            int wanted = stopping ? 0 : block.demand(nowMillis) + block.quarantined;
            int inUse = block.running + block.quarantined;
            BlockPlan plan =
                    stopping
                            ? BlockPlan.returnUnused(reclaimed, self, inUse)
                            : BlockPlan.of(reclaimed, self, wanted, inUse);
            block.refusedSinceLastTick = false;
            int previousUsable = block.usable;
            block.usable = Math.max(0, Math.min(bound, plan.target() - block.quarantined));
            gainedUnits = block.usable > previousUsable;
            change = planChange(team, row, reclaimed, plan, wanted, block);
        } finally {
            shard.lock.unlock();
        }
        if (gainedUnits) {
            onUnitsGained.accept(team);
        }
        return change;
    }

    private Optional<LimitRowChange> planChange(
            TeamId team,
            Row row,
            LimitRow reclaimed,
            BlockPlan plan,
            int wanted,
            LocalBlock block) {
        Block current = reclaimed.block(self);
        boolean publishesDemand =
                wanted != current.wanted()
                        && (wanted > plan.granted()
                                || reclaimed.free() == 0
                                || BlockPlan.unmetByOthers(reclaimed, self) > 0);
        boolean isChanged = plan.granted() != current.granted() || publishesDemand;
        LimitRow changed =
                isChanged
                        ? reclaimed.withBlock(self, new Block(plan.granted(), wanted))
                        : reclaimed;
        // Rewriting an unchanged row changes its version, so that a commit with an unknown result
        // can no longer take effect.
        if (!block.isUnresolved() && changed.equals(codec.decode(row.value()))) {
            return Optional.empty();
        }
        int usableAfter = Math.max(0, plan.target() - block.quarantined);
        return Optional.of(new LimitRowChange(team, row, changed, block.usable, usableAfter));
    }

    /** Applies the result of a commit; returns whether to read the rows and retry at once. */
    private boolean handleCommitResult(
            List<LimitRowChange> changes, CommitResult result, Throwable failure) {
        if (failure != null) {
            ErrorKind kind = QuetzalscaleException.from(failure).kind();
            if (kind != ErrorKind.STORE_OUTCOME_UNKNOWN) {
                return false;
            }
            changes.forEach(this::recordUnresolved);
            return true;
        }
        if (!result.isCommitted()) {
            return true;
        }
        changes.forEach(this::applyCommitted);
        return false;
    }

    private void recordUnresolved(LimitRowChange change) {
        Shard shard = shard(change.team());
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(change.team());
            block.recordUnresolvedCommit(change.row().version(), change.usableAfter());
            block.usable = Math.min(block.usable, change.usableBefore());
        } finally {
            shard.lock.unlock();
        }
    }

    private void applyCommitted(LimitRowChange change) {
        boolean gainedUnits;
        Shard shard = shard(change.team());
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(change.team());
            gainedUnits = change.usableAfter() > block.usable;
            block.usable = change.usableAfter();
        } finally {
            shard.lock.unlock();
        }
        if (gainedUnits) {
            onUnitsGained.accept(change.team());
        }
    }

    /** The row without the blocks of other holders that are reclaimable. */
    private LimitRow withoutReclaimableBlocks(LimitRow row) {
        LimitRow reclaimed = row;
        for (String holder : row.blocks().keySet()) {
            if (!holder.equals(self) && isReclaimable.test(holder)) {
                reclaimed = reclaimed.withBlock(holder, new Block(0, 0));
            }
        }
        return reclaimed;
    }

    private int usedByOthers(LimitRow row) {
        int used = 0;
        for (Map.Entry<String, Block> entry : row.blocks().entrySet()) {
            Block block = entry.getValue();
            if (entry.getKey().equals(LimitRow.JOBS)) {
                used += block.granted();
            } else if (!entry.getKey().equals(self)) {
                used += Math.min(block.granted(), block.wanted());
            }
        }
        return used;
    }

    /** Withdraws the units of teams that no longer have a row. */
    private void withdrawTeamsWithoutRow(Set<TeamId> teamsWithRow) {
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.blocks.forEach(
                        (team, block) -> {
                            if (!teamsWithRow.contains(team)) {
                                block.usable = 0;
                                block.hasRow = false;
                            }
                        });
                shard.blocks
                        .entrySet()
                        .removeIf(
                                entry ->
                                        !teamsWithRow.contains(entry.getKey())
                                                && entry.getValue().running == 0
                                                && entry.getValue().waiting == 0);
            } finally {
                shard.lock.unlock();
            }
        }
    }

    private Shard shard(TeamId team) {
        return shards.get(Math.floorMod(team.hashCode(), SHARD_COUNT));
    }

    /** Blocks of the teams that share a lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<TeamId, LocalBlock> blocks = new HashMap<>();

        LocalBlock block(TeamId team) {
            return blocks.computeIfAbsent(team, id -> new LocalBlock());
        }
    }
}
