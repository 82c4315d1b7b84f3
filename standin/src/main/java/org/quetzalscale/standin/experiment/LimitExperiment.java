package org.quetzalscale.standin.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.limit.BlockHolder;
import org.quetzalscale.core.limit.HolderLivenessTracker;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.net.json.Json;

/** Measures how fast blocks of an upper limit follow the demand, and what lies idle meanwhile. */
public final class LimitExperiment {
    private static final int HOLDERS = 8;
    private static final int LIMIT = 40;
    private static final int RUNS = 200;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TABLE_MICROS = 5_000;
    private static final long STEP_MICROS = 10_000;
    private static final long LIST_LAG_MICROS = 5 * SECOND_MICROS;
    private static final TeamId TEAM = new TeamId("agro");

    private final VirtualClock clock = new VirtualClock();
    private final InMemoryTable table = new InMemoryTable();
    private final RowCodec<LimitRow> codec = Json.codec(LimitRow.class);
    private final HolderLivenessTracker gone = new HolderLivenessTracker();
    private final List<BlockHolder> holders = new ArrayList<>();
    private final boolean[] dead = new boolean[HOLDERS];
    private final int[] running = new int[HOLDERS];
    private final AtomicLong commits = new AtomicLong();
    private double idleUnitSeconds;

    private LimitExperiment(long seed) {
        Random random = new Random(seed);
        table.commit(
                Transaction.builder()
                        .put(
                                RowKey.of("limit", TEAM.value()),
                                codec.encode(new LimitRow(LIMIT, Map.of())))
                        .build());
        for (int i = 0; i < HOLDERS; i++) {
            int index = i;
            holders.add(
                    new BlockHolder(
                            new InstanceId("i-" + i),
                            new DelayedTable(),
                            codec,
                            clock::nowMillis,
                            other -> gone.isReclaimable(other, clock.nowMillis()),
                            team -> {},
                            task -> clock.after(0, task)));
            clock.after(random.nextInt(1_000_000), () -> tick(index));
        }
    }

    /** Prints the times and the idle capacity over seeded runs. */
    public static void run(PrintStream out) {
        double[] move = new double[RUNS];
        double[] half = new double[RUNS];
        double[] compete = new double[RUNS];
        double[] kill = new double[RUNS];
        double[] first = new double[RUNS];
        double[] idleMove = new double[RUNS];
        double[] idleKill = new double[RUNS];
        double writes = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            LimitExperiment one = new LimitExperiment(seed);
            first[seed] = one.secondsUntil(0, 1);
            one.secondsUntil(0, LIMIT);
            one.stopAll(0);
            one.idleUnitSeconds = 0;
            half[seed] = one.secondsUntil(1, LIMIT / 2);
            move[seed] = half[seed] + one.secondsUntil(1, LIMIT);
            idleMove[seed] = one.idleUnitSeconds;
            one = new LimitExperiment(seed);
            one.secondsUntil(0, LIMIT);
            one.stopAll(0);
            one.secondsUntil(1, 1);
            long before = one.commits.get();
            one.idle(10);
            writes += (one.commits.get() - before) / 10.0;
            compete[seed] = new LimitExperiment(seed).secondsUntilShared();
            one = new LimitExperiment(seed);
            kill[seed] = one.secondsUntilReclaimed();
            idleKill[seed] = one.idleUnitSeconds;
        }
        out.printf(
                "limit %d units, %d holders, table 5 ms a call, %d runs%n", LIMIT, HOLDERS, RUNS);
        out.printf("%-58s %8s %8s %8s%n", "seconds until", "p50", "p99", "max");
        print(out, "the first unit at a holder without any", first);
        print(out, "half of the limit moved from an idle holder", half);
        print(out, "the whole limit moved from an idle holder", move);
        print(out, "two busy holders have half each (requests of 1 s)", compete);
        print(out, "a killed holder's block is used again (list lag 5 s)", kill);
        out.printf("%-58s %8s %8s %8s%n", "unit-seconds idle while demanded", "p50", "p99", "max");
        print(out, "the whole limit moved from an idle holder", idleMove);
        print(out, "a killed holder's block is used again", idleKill);
        out.printf("writes a second with steady demand: %.2f%n", writes / RUNS);
        out.printf(
                "unusable with fixed equal parts and callers at one instance: %d of %d units%n",
                LIMIT - LIMIT / HOLDERS, LIMIT);
    }

    private static void print(PrintStream out, String what, double[] seconds) {
        Arrays.sort(seconds);
        out.printf(
                "%-58s %8.2f %8.2f %8.2f%n",
                what, seconds[RUNS / 2], seconds[RUNS * 99 / 100], seconds[RUNS - 1]);
    }

    private void tick(int holder) {
        if (!dead[holder]) {
            holders.get(holder).tick();
            clock.after(BlockHolder.TICK_MILLIS * 1_000, () -> tick(holder));
        }
    }

    /** Lets a holder demand that many units, and returns how long it takes to run them. */
    private double secondsUntil(int holder, int units) {
        long start = clock.nowMicros();
        int wanted = units - running[holder];
        holders.get(holder).addWaiting(TEAM, wanted);
        while (running[holder] < units) {
            fill(holder, units);
            if (running[holder] < units) {
                idleUnitSeconds += (units - running[holder]) * (double) STEP_MICROS / SECOND_MICROS;
                clock.runUntil(clock.nowMicros() + STEP_MICROS);
            }
        }
        return (clock.nowMicros() - start) / (double) SECOND_MICROS;
    }

    private void fill(int holder, int units) {
        while (running[holder] < units && holders.get(holder).tryAcquire(TEAM)) {
            running[holder]++;
            holders.get(holder).addWaiting(TEAM, -1);
        }
    }

    private void stopAll(int holder) {
        while (running[holder] > 0) {
            running[holder]--;
            holders.get(holder).release(TEAM);
        }
    }

    private void idle(int seconds) {
        clock.runUntil(clock.nowMicros() + seconds * SECOND_MICROS);
    }

    /** Two holders with more demand than the limit, whose requests end after a second. */
    private double secondsUntilShared() {
        secondsUntil(0, LIMIT);
        holders.get(0).addWaiting(TEAM, LIMIT);
        holders.get(1).addWaiting(TEAM, LIMIT);
        long start = clock.nowMicros();
        long step = 0;
        while (running[1] < LIMIT / 2) {
            clock.runUntil(clock.nowMicros() + STEP_MICROS);
            step++;
            // With a second of service time, one in a hundred running requests ends in 10 ms.
            if (running[0] > 0 && step % 100 < LIMIT) {
                running[0]--;
                holders.get(0).release(TEAM);
                holders.get(0).addWaiting(TEAM, 1);
            }
            fill(0, LIMIT);
            fill(1, LIMIT);
        }
        return (clock.nowMicros() - start) / (double) SECOND_MICROS;
    }

    private double secondsUntilReclaimed() {
        secondsUntil(0, LIMIT);
        dead[0] = true;
        idleUnitSeconds = 0;
        clock.after(LIST_LAG_MICROS, this::listGone);
        return secondsUntil(1, LIMIT);
    }

    private void listGone() {
        Member member =
                new Member(
                        "i-0",
                        MemberRole.ENTRY,
                        new ZoneId("zone-a"),
                        "10.0.0.1:7000",
                        MemberState.GONE);
        gone.update(List.of(member), clock.nowMillis());
    }

    /** The table with a delay before the effect and one before the answer. */
    private final class DelayedTable implements TransactionalTable {
        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return later(() -> table.read(key));
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return later(() -> table.scan(prefix));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            commits.incrementAndGet();
            return later(() -> table.commit(transaction));
        }

        private <T> CompletionStage<T> later(Supplier<CompletionStage<T>> call) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            clock.after(
                    TABLE_MICROS / 2,
                    () -> {
                        T value = call.get().toCompletableFuture().join();
                        clock.after(TABLE_MICROS / 2, () -> answer.complete(value));
                    });
            return answer;
        }
    }
}
