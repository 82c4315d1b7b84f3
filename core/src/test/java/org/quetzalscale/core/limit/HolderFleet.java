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
 * Several holders of one team's limit under a seeded sequence of faults. Counts the running
 * requests itself, those of killed processes included, which run on for up to 60 s.
 */
final class HolderFleet {
    static final TeamId TEAM = new TeamId("agro");
    private static final int HOLDERS = 4;
    private static final long LONGEST_REQUEST_MILLIS = 60_000;
    private static final long LEASE_MILLIS = 6_000;
    private static final RowKey ROW = RowKey.of("limit", "agro");

    private final LimitRowText codec = new LimitRowText();
    private final InMemoryTable shared = new InMemoryTable();
    private final VirtualTime time = new VirtualTime();
    private final Deque<Transaction> late = new ArrayDeque<>();
    private final List<Instance> instances = new ArrayList<>();
    private final HolderLivenessTracker gone = new HolderLivenessTracker();
    private final List<Long> orphanEnds = new ArrayList<>();
    private final List<String> goneNames = new ArrayList<>();
    private final Random random;
    private final boolean reclaimAtLeaseEnd;
    private final long quarantineMillis;
    private int bound;
    private int started;

    HolderFleet(long seed, int limit, boolean reclaimAtLeaseEnd, long quarantineMillis) {
        this.random = new Random(seed);
        this.reclaimAtLeaseEnd = reclaimAtLeaseEnd;
        this.quarantineMillis = quarantineMillis;
        this.bound = limit;
        shared.commit(
                Transaction.builder()
                        .put(ROW, codec.encode(new LimitRow(limit, Map.of())))
                        .build());
        for (int i = 0; i < HOLDERS; i++) {
            instances.add(new Instance("i-" + i));
        }
    }

    /** Runs one random action; false once more units run than the limit permits. */
    boolean step() {
        Instance instance = instances.get(random.nextInt(instances.size()));
        switch (random.nextInt(24)) {
            case 0 -> instance.kill();
            case 1 -> instance.paused = !instance.paused;
            case 2 -> instance.table.setDown(random.nextBoolean());
            case 3 -> setLimit(random.nextInt(12));
            case 4 -> time.advance(random.nextInt(5) == 0 ? 61_000 : random.nextInt(8_000));
            case 5 -> applyLate();
            case 6, 7, 8, 9, 10 -> instance.start();
            case 11, 12 -> instance.finish();
            case 13, 14 -> instance.tick();
            case 15 -> instance.setWaiting(random.nextInt(6));
            default -> instance.step();
        }
        observe();
        return running() <= bound;
    }

    int started() {
        return started;
    }

    /** Ends all faults, then counts how many units run after two minutes of demand. */
    int unitsAfterRecovery() {
        while (!late.isEmpty()) {
            applyLate();
        }
        time.advance(2 * LONGEST_REQUEST_MILLIS);
        observe();
        instances.forEach(Instance::finishAll);
        for (int round = 0; round < 130; round++) {
            time.advance(1_000);
            for (Instance instance : instances) {
                instance.paused = false;
                instance.table.setDown(false);
                instance.start();
                instance.tick();
                for (int i = 0; i < 9; i++) {
                    instance.step();
                }
            }
            observe();
        }
        return running();
    }

    int limit() {
        return row().limit();
    }

    private int running() {
        orphanEnds.removeIf(end -> end <= time.nowMillis());
        return orphanEnds.size() + instances.stream().mapToInt(i -> i.running).sum();
    }

    private void observe() {
        if (row().granted() <= row().limit()) {
            bound = row().limit();
        }
        List<Member> members = new ArrayList<>();
        for (Instance instance : instances) {
            members.add(member(instance.name, MemberState.LIVE));
        }
        goneNames.forEach(name -> members.add(member(name, MemberState.GONE)));
        gone.update(members, time.nowMillis());
    }

    private static Member member(String name, MemberState state) {
        return new Member(name, MemberRole.ENTRY, new ZoneId("zone-a"), "10.0.0.1:7000", state);
    }

    private LimitRow row() {
        return codec.decode(storedRow().value());
    }

    private Row storedRow() {
        return shared.read(ROW).toCompletableFuture().join().orElseThrow();
    }

    private void setLimit(int limit) {
        bound = Math.max(bound, limit);
        shared.commit(
                Transaction.builder()
                        .replace(storedRow(), codec.encode(row().withLimit(limit)))
                        .build());
    }

    private void applyLate() {
        if (!late.isEmpty()) {
            shared.commit(late.poll());
        }
    }

    /** One machine and its present process. */
    private final class Instance {
        private String name;
        private SteppedTable table;
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
            table = new SteppedTable(shared, random, late);
            Predicate<String> reclaimable =
                    reclaimAtLeaseEnd
                            ? this::isLeaseOver
                            : other -> gone.isReclaimable(other, time.nowMillis());
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

        private boolean isLeaseOver(String other) {
            return instances.stream()
                    .filter(instance -> instance.name.equals(other))
                    .anyMatch(i -> time.nowMillis() - i.lastTickMillis >= LEASE_MILLIS);
        }

        /** Ends the process; a new one starts on this machine, or on a replacement of it. */
        void kill() {
            for (int i = 0; i < running; i++) {
                orphanEnds.add(time.nowMillis() + LONGEST_REQUEST_MILLIS);
            }
            if (random.nextBoolean()) {
                goneNames.add(name);
                name = name + "x";
            }
            restart();
        }

        void start() {
            if (!paused && holder.tryAcquire(TEAM)) {
                running++;
                started++;
            }
        }

        void finish() {
            if (!paused && running > 0) {
                holder.release(TEAM);
                running--;
            }
        }

        void setWaiting(int count) {
            holder.addWaiting(TEAM, count - waiting);
            waiting = count;
        }

        void finishAll() {
            paused = false;
            while (running > 0) {
                finish();
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
