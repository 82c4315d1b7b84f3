package org.quetzalscale.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.VirtualTime;

/**
 * Simulates several holders of one team's limit under a seeded random sequence of actions and
 * faults. Counts the running requests independently of the holders. Requests of a killed process
 * are assumed to run for the maximum of 60 s.
 */
final class BlockHolderSimulation {
    static final TeamId TEAM = new TeamId("agro");
    private static final int INSTANCES = 4;
    private static final long MAX_REQUEST_MILLIS = 60_000;
    private static final long LEASE_MILLIS = 6_000;
    private static final RowKey ROW = RowKey.of("limit", "agro");

    private final TextLimitRowCodec codec = new TextLimitRowCodec();
    private final InMemoryTable sharedTable = new InMemoryTable();
    private final VirtualTime time = new VirtualTime();
    private final Deque<Transaction> delayedCommits = new ArrayDeque<>();
    private final List<Instance> instances = new ArrayList<>();
    private final HolderLivenessTracker liveness = new HolderLivenessTracker();
    private final List<Long> orphanEndMillis = new ArrayList<>();
    private final List<String> goneHolders = new ArrayList<>();
    private final Random random;
    private final boolean reclaimsAtLeaseExpiry;
    private final long quarantineMillis;

    /**
     * The highest limit that may still be in effect. A lowered limit takes effect once the excess
     * units were returned.
     */
    private int permitted;

    private int startedCount;

    BlockHolderSimulation(
            long seed, int limit, boolean reclaimsAtLeaseExpiry, long quarantineMillis) {
        this.random = new Random(seed);
        this.reclaimsAtLeaseExpiry = reclaimsAtLeaseExpiry;
        this.quarantineMillis = quarantineMillis;
        this.permitted = limit;
        sharedTable.commit(
                Transaction.builder()
                        .put(ROW, codec.encode(new LimitRow(limit, Map.of())))
                        .build());
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance("i-" + i));
        }
    }

    /** Runs one random action; returns false if more requests run than the limit permits. */
    boolean step() {
        Instance instance = instances.get(random.nextInt(instances.size()));
        switch (random.nextInt(24)) {
            case 0 -> instance.kill();
            case 1 -> instance.paused = !instance.paused;
            case 2 -> instance.table.setDown(random.nextBoolean());
            case 3 -> setLimit(random.nextInt(12));
            case 4 -> time.advance(random.nextInt(5) == 0 ? 61_000 : random.nextInt(8_000));
            case 5 -> applyDelayedCommit();
            case 6, 7, 8, 9, 10 -> instance.startRequest();
            case 11, 12 -> instance.finishRequest();
            case 13, 14 -> instance.tick();
            case 15 -> instance.setWaiting(random.nextInt(6));
            default -> instance.step();
        }
        updateObservations();
        return running() <= permitted;
    }

    int startedCount() {
        return startedCount;
    }

    /** Ends all faults, and returns the number of running requests after 130 s of demand. */
    int unitsAfterRecovery() {
        while (!delayedCommits.isEmpty()) {
            applyDelayedCommit();
        }
        time.advance(2 * MAX_REQUEST_MILLIS);
        updateObservations();
        instances.forEach(Instance::finishAllRequests);
        for (int round = 0; round < 130; round++) {
            time.advance(1_000);
            for (Instance instance : instances) {
                instance.paused = false;
                instance.table.setDown(false);
                instance.startRequest();
                instance.tick();
                for (int i = 0; i < 9; i++) {
                    instance.step();
                }
            }
            updateObservations();
        }
        return running();
    }

    int limit() {
        return row().limit();
    }

    private int running() {
        orphanEndMillis.removeIf(end -> end <= time.nowMillis());
        return orphanEndMillis.size() + instances.stream().mapToInt(i -> i.running).sum();
    }

    private void updateObservations() {
        if (row().granted() <= row().limit()) {
            permitted = row().limit();
        }
        List<Member> members = new ArrayList<>();
        for (Instance instance : instances) {
            members.add(member(instance.name, MemberState.LIVE));
        }
        goneHolders.forEach(name -> members.add(member(name, MemberState.GONE)));
        liveness.update(members, time.nowMillis());
    }

    private static Member member(String name, MemberState state) {
        return new Member(name, MemberRole.ENTRY, new ZoneId("zone-a"), "10.0.0.1:7000", state);
    }

    private LimitRow row() {
        return codec.decode(storedRow().value());
    }

    private Row storedRow() {
        return sharedTable.read(ROW).toCompletableFuture().join().orElseThrow();
    }

    private void setLimit(int limit) {
        permitted = Math.max(permitted, limit);
        sharedTable.commit(
                Transaction.builder()
                        .replace(storedRow(), codec.encode(row().withLimit(limit)))
                        .build());
    }

    private void applyDelayedCommit() {
        if (!delayedCommits.isEmpty()) {
            sharedTable.commit(delayedCommits.poll());
        }
    }

    /** A machine and its current process. */
    private final class Instance {
        private String name;
        private ManuallySteppedTable table;
        private BlockHolder holder;
        private boolean paused;
        private long lastTickMillis;
        private int running;
        private int waiting;

        Instance(String name) {
            this.name = name;
            restart();
        }

        private void restart() {
            table = new ManuallySteppedTable(sharedTable, random, delayedCommits);
            Predicate<String> reclaimable =
                    reclaimsAtLeaseExpiry
                            ? this::isLeaseExpired
                            : other -> liveness.isReclaimable(other, time.nowMillis());
            holder =
                    new BlockHolder(
                            new InstanceId(name),
                            table,
                            codec,
                            time,
                            reclaimable,
                            team -> {},
                            task -> {},
                            quarantineMillis);
            paused = false;
            running = 0;
            waiting = 0;
            lastTickMillis = time.nowMillis();
        }

        private boolean isLeaseExpired(String other) {
            return instances.stream()
                    .filter(instance -> instance.name.equals(other))
                    .anyMatch(i -> time.nowMillis() - i.lastTickMillis >= LEASE_MILLIS);
        }

        /**
         * Kills the process. A new one starts on this machine or, half of the time, on a new
         * machine.
         */
        void kill() {
            for (int i = 0; i < running; i++) {
                orphanEndMillis.add(time.nowMillis() + MAX_REQUEST_MILLIS);
            }
            if (random.nextBoolean()) {
                goneHolders.add(name);
                name = name + "x";
            }
            restart();
        }

        void startRequest() {
            if (!paused && holder.tryAcquire(TEAM)) {
                running++;
                startedCount++;
            }
        }

        void finishRequest() {
            if (!paused && running > 0) {
                holder.release(TEAM);
                running--;
            }
        }

        void setWaiting(int count) {
            holder.addWaiting(TEAM, count - waiting);
            waiting = count;
        }

        void finishAllRequests() {
            paused = false;
            while (running > 0) {
                finishRequest();
            }
        }

        void tick() {
            if (!paused) {
                lastTickMillis = time.nowMillis();
                holder.tick();
            }
        }

        void step() {
            if (!paused) {
                table.step();
            }
        }
    }
}
