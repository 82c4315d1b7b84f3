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
 * One instance's side of the upper limits: the blocks that rows {@code limit/<team>} grant to it.
 *
 * <p>A unit is usable only while the row grants it to this instance whatever becomes of commits
 * whose answer was lost: units are given up here before the commit that returns them, and used only
 * after the commit that takes them is known to have taken effect. At most one transaction is in
 * flight. Safe for several threads.
 */
public final class BlockHolder implements TeamLimiter {
    /** Period at which {@link #tick} should be called, in milliseconds. */
    public static final long TICK_MILLIS = 1_000;

    /**
     * Time for which a restarted process leaves its former block unused, in milliseconds: requests
     * of the former process may run that long.
     */
    public static final long QUARANTINE_MILLIS = QueueSpec.MAX_TIMEOUT_MILLIS;

    private static final String PREFIX = "limit/";
    private static final int SHARD_COUNT = 16;
    private static final int MAX_ATTEMPTS = 3;
    private static final long ASK_PERIOD_MILLIS = 200;

    private final String self;
    private final TransactionalTable table;
    private final RowCodec<LimitRow> codec;
    private final TimeSource time;
    private final Predicate<String> reclaimable;
    private final Consumer<TeamId> unitsArrived;
    private final Executor executor;
    private final long quarantineEndMillis;
    private final List<Shard> shards = new ArrayList<>();
    private final AtomicBoolean inFlight = new AtomicBoolean();
    private volatile CompletionStage<Void> running = CompletableFuture.completedFuture(null);
    private volatile boolean stopping;
    private boolean hasScanned;

    /**
     * A holder that has no usable units before its first tick.
     *
     * @param reclaimable whether a holder's block may be returned by others, such as {@link
     *     HolderLivenessTracker#isReclaimable}
     * @param unitsArrived told each team that gained usable units, outside of all locks
     * @param executor runs ticks that a refused {@link #tryAcquire} asks for; must not run them in
     *     the calling thread
     */
    public BlockHolder(
            InstanceId self,
            TransactionalTable table,
            RowCodec<LimitRow> codec,
            TimeSource time,
            Predicate<String> reclaimable,
            Consumer<TeamId> unitsArrived,
            Executor executor) {
        this(self, table, codec, time, reclaimable, unitsArrived, executor, QUARANTINE_MILLIS);
    }

    BlockHolder(
            InstanceId self,
            TransactionalTable table,
            RowCodec<LimitRow> codec,
            TimeSource time,
            Predicate<String> reclaimable,
            Consumer<TeamId> unitsArrived,
            Executor executor,
            long quarantineMillis) {
        this.self = self.value();
        this.table = table;
        this.codec = codec;
        this.time = time;
        this.reclaimable = reclaimable;
        this.unitsArrived = unitsArrived;
        this.executor = executor;
        this.quarantineEndMillis = time.nowMillis() + quarantineMillis;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    @Override
    public boolean tryAcquire(TeamId team) {
        long nowMillis = time.nowMillis();
        boolean ask = false;
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            if (!stopping && block.tryAcquire(nowMillis)) {
                return true;
            }
            if (!stopping && nowMillis - block.lastAskMillis >= ASK_PERIOD_MILLIS) {
                block.lastAskMillis = nowMillis;
                ask = true;
            }
        } finally {
            shard.lock.unlock();
        }
        if (ask) {
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
            return block.seen
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

    /** Units of the team in use by this instance. */
    public int running(TeamId team) {
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            return shard.block(team).running;
        } finally {
            shard.lock.unlock();
        }
    }

    /** Units of the team's limit that this instance holds, those under quarantine included. */
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
     * Grants no more units, and returns each at the tick after its request ended.
     *
     * @return ends when the units that are not in use have been returned, or could not be
     */
    public CompletionStage<Void> stop() {
        stopping = true;
        // A tick that is in flight may have planned before the stop, so one more follows it.
        return tick().thenCompose(done -> tick());
    }

    /** Whether no unit is in use, so that the last tick since then returned all blocks. */
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
     * Reads the limit rows and rebalances this instance's blocks in one transaction. While a former
     * tick is in flight, no other starts and the stage is that one's. It never fails, since a later
     * tick repeats what this one could not do.
     */
    public CompletionStage<Void> tick() {
        if (!inFlight.compareAndSet(false, true)) {
            return running;
        }
        CompletableFuture<Void> ended = new CompletableFuture<>();
        running = ended;
        attempt(1)
                .whenComplete(
                        (done, failure) -> {
                            inFlight.set(false);
                            ended.complete(null);
                        });
        return ended;
    }

    private CompletionStage<Void> attempt(int number) {
        // A table that throws at the call must end the tick as one that fails later does.
        return CompletableFuture.completedFuture(PREFIX)
                .thenCompose(table::scan)
                .thenCompose(rows -> propose(rows, number));
    }

    private CompletionStage<Void> propose(List<Row> rows, int number) {
        List<Proposal> proposals = new ArrayList<>();
        Set<TeamId> seen = new HashSet<>();
        for (Row row : rows) {
            TeamId team = new TeamId(row.key().value().substring(PREFIX.length()));
            seen.add(team);
            synchronize(team, row).ifPresent(proposals::add);
        }
        hasScanned = true;
        withdrawUnseen(seen);
        if (proposals.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        Transaction.Builder transaction = Transaction.builder();
        proposals.forEach(p -> transaction.replace(p.row(), codec.encode(p.changed())));
        return table.commit(transaction.build())
                .handle((result, failure) -> settle(proposals, result, failure))
                .thenCompose(
                        again ->
                                again && number < MAX_ATTEMPTS
                                        ? attempt(number + 1)
                                        : CompletableFuture.completedFuture(null));
    }

    /** Takes over what the row says, and plans this instance's change of it. */
    private Optional<Proposal> synchronize(TeamId team, Row row) {
        LimitRow read = codec.decode(row.value());
        LimitRow swept = sweep(read);
        long nowMillis = time.nowMillis();
        boolean grew;
        Optional<Proposal> proposal;
        Shard shard = shard(team);
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(team);
            int granted = read.block(self).granted();
            if (!hasScanned) {
                block.quarantined = granted;
            }
            block.quarantined =
                    nowMillis >= quarantineEndMillis ? 0 : Math.min(block.quarantined, granted);
            block.seen = true;
            block.limit = read.limit();
            block.usedByOthers = usedByOthers(swept);
            int bound = Math.min(granted - block.quarantined, block.unresolvedBound(row.version()));
            int wanted = stopping ? 0 : block.need(nowMillis) + block.quarantined;
            int floor = block.running + block.quarantined;
            BlockPlan plan =
                    stopping
                            ? BlockPlan.returning(swept, self, floor)
                            : BlockPlan.of(swept, self, wanted, floor);
            block.refusedOne = false;
            int former = block.usable;
            block.usable = Math.max(0, Math.min(bound, plan.target() - block.quarantined));
            grew = block.usable > former;
            proposal = proposal(team, row, swept, plan, wanted, block);
        } finally {
            shard.lock.unlock();
        }
        if (grew) {
            unitsArrived.accept(team);
        }
        return proposal;
    }

    private Optional<Proposal> proposal(
            TeamId team, Row row, LimitRow swept, BlockPlan plan, int wanted, LocalBlock block) {
        Block present = swept.block(self);
        boolean tellDemand =
                wanted != present.wanted()
                        && (wanted > plan.granted()
                                || swept.free() == 0
                                || BlockPlan.unmetByOthers(swept, self) > 0);
        boolean changes = plan.granted() != present.granted() || tellDemand;
        LimitRow changed =
                changes ? swept.withBlock(self, new Block(plan.granted(), wanted)) : swept;
        // An unchanged row is written again to learn the fate of a commit that may still come.
        if (!block.isUnresolved() && changed.equals(codec.decode(row.value()))) {
            return Optional.empty();
        }
        int after = Math.max(0, plan.target() - block.quarantined);
        return Optional.of(new Proposal(team, row, changed, block.usable, after));
    }

    /** Whether the rows should be read again at once. */
    private boolean settle(List<Proposal> proposals, CommitResult result, Throwable failure) {
        if (failure != null) {
            ErrorKind kind = QuetzalscaleException.from(failure).kind();
            if (kind != ErrorKind.STORE_OUTCOME_UNKNOWN) {
                return false;
            }
            proposals.forEach(this::noteUnresolved);
            return true;
        }
        if (!result.isCommitted()) {
            return true;
        }
        proposals.forEach(this::takeOver);
        return false;
    }

    private void noteUnresolved(Proposal proposal) {
        Shard shard = shard(proposal.team());
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(proposal.team());
            block.unresolved(proposal.row().version(), proposal.usableAfter());
            block.usable = Math.min(block.usable, proposal.usableBefore());
        } finally {
            shard.lock.unlock();
        }
    }

    private void takeOver(Proposal proposal) {
        boolean grew;
        Shard shard = shard(proposal.team());
        shard.lock.lock();
        try {
            LocalBlock block = shard.block(proposal.team());
            grew = proposal.usableAfter() > block.usable;
            block.usable = proposal.usableAfter();
        } finally {
            shard.lock.unlock();
        }
        if (grew) {
            unitsArrived.accept(proposal.team());
        }
    }

    /** The row without the blocks of holders that are gone for long enough. */
    private LimitRow sweep(LimitRow row) {
        LimitRow swept = row;
        for (String holder : row.blocks().keySet()) {
            if (!holder.equals(self) && reclaimable.test(holder)) {
                swept = swept.withBlock(holder, new Block(0, 0));
            }
        }
        return swept;
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

    /** Gives up the units of teams whose row is gone. */
    private void withdrawUnseen(Set<TeamId> seen) {
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.blocks.forEach(
                        (team, block) -> {
                            if (!seen.contains(team)) {
                                block.usable = 0;
                                block.seen = false;
                            }
                        });
                shard.blocks
                        .entrySet()
                        .removeIf(
                                entry ->
                                        !seen.contains(entry.getKey())
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

    /** Blocks of the teams that fall on one lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<TeamId, LocalBlock> blocks = new HashMap<>();

        LocalBlock block(TeamId team) {
            return blocks.computeIfAbsent(team, id -> new LocalBlock());
        }
    }
}
