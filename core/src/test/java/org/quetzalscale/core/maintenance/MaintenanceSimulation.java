package org.quetzalscale.core.maintenance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.quetzalscale.core.config.ConfigCodecs;
import org.quetzalscale.core.config.ConfigReader;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigStore;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.config.ResourceEdit;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.fleet.ControlState;
import org.quetzalscale.core.fleet.InMemoryWorkerControl;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.placement.MoveRunner;
import org.quetzalscale.core.placement.PoolNeeds;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/**
 * Two runners that act concurrently on one table, in virtual time. No lease excludes either of
 * them, which is harder than a paused lease holder that resumes. Each committed version is checked.
 */
final class MaintenanceSimulation {
    static final WaveId WAVE = new WaveId("monthly");
    private static final Condition NO_FENCE = Condition.absent(new RowKey("lease/none"));
    private static final long REBOOT_MILLIS = 20_000;

    final Random random;
    final List<String> faults = new ArrayList<>();
    final Set<WorkerId> down = new HashSet<>();
    final Map<PoolId, Integer> demand = new HashMap<>();
    final ConfigStore operator;
    int moves;
    private final InMemoryTable table = new InMemoryTable();
    private final ConfigCodecs codecs = new ConfigCodecs(new MemoryCodec<>(), new MemoryCodec<>());
    private final MemoryCodec<BudgetRow> budgets = new MemoryCodec<>();
    private final MemoryCodec<WaveRow> waves = new MemoryCodec<>();
    private final Deque<Transaction> delayed = new ArrayDeque<>();
    private final List<Runner> runners = new ArrayList<>();
    private final Map<WorkerId, Long> busyUntilMillis = new HashMap<>();
    private final Set<String> operations = new HashSet<>();
    private final InMemoryWorkerControl control;
    private final UnaryOperator<ConfigWrite> rule;
    private ConfigSnapshot current = ConfigSnapshot.EMPTY;
    private long nowMillis;
    private int ids;

    /**
     * Creates two pools of six workers and a spare pool of three.
     *
     * @param rule transforms the runners' writes before they are sent; identity for the real
     *     behaviour
     */
    MaintenanceSimulation(long seed, double failureShare, UnaryOperator<ConfigWrite> rule) {
        this.random = new Random(seed);
        this.rule = rule;
        operator = new ConfigStore(table, codecs, () -> "operator" + ids++);
        Random outcomes = new Random(seed + 1);
        Map<String, Boolean> fails = new HashMap<>();
        control =
                new InMemoryWorkerControl(
                        () -> nowMillis,
                        REBOOT_MILLIS,
                        id -> fails.computeIfAbsent(id, k -> outcomes.nextDouble() < failureShare));
        declare("default", new DeploymentSpec(1, 1, 0.2, 1));
        for (String pool : List.of("lab", "shop", "spare")) {
            boolean spare = pool.equals("spare");
            declare(pool, new PoolSpec(spare ? 1 : 4, spare));
            for (int i = 0; i < (spare ? 3 : 6); i++) {
                declare(pool + "-" + i, worker(pool, i, false));
            }
        }
        for (int i = 0; i < 2; i++) {
            runners.add(new Runner());
        }
    }

    private static WorkerSpec worker(String pool, int i, boolean drain) {
        return new WorkerSpec(
                new PoolId(pool),
                "10.0." + (pool.charAt(1) - 'a') + "." + i + ":80",
                new ZoneId("z" + i % 2),
                new RackId("r" + i % 4),
                8,
                64,
                64,
                1024,
                0,
                drain);
    }

    void declare(String name, Spec spec) {
        boolean isNew = current.find(spec.kind(), name).isEmpty();
        edit(
                isNew
                        ? ResourceEdit.create(name, spec)
                        : ResourceEdit.replace(name, spec, Optional.empty()));
    }

    private void edit(ResourceEdit edit) {
        operator.write(current, ConfigWrite.of(edit)).toCompletableFuture().join();
        current = load();
    }

    void wave(int maxParallel, boolean paused, boolean aborted, double threshold) {
        declare(
                WAVE.value(),
                new WaveSpec(
                        List.of(), WaveAction.REBOOT, maxParallel, paused, aborted, threshold));
    }

    void toggleDrain(String pool, int i) {
        String name = pool + "-" + i;
        WorkerSpec now = current.worker(new WorkerId(name)).orElseThrow();
        declare(name, worker(pool, i, !now.drain()));
    }

    boolean isDrainDeclared(String pool, int i) {
        return current.worker(new WorkerId(pool + "-" + i)).orElseThrow().drain();
    }

    void setFloor(String pool, int floor) {
        declare(pool, new PoolSpec(floor, pool.equals("spare")));
    }

    /** Performs one random event: a call, a tick, a fault or an edit by an operator. */
    void act() {
        Runner runner = runners.get(random.nextInt(runners.size()));
        int dice = random.nextInt(100);
        if (dice < 70) {
            runner.client.step();
        } else if (dice < 90) {
            nowMillis += 500;
            runner.tick();
        } else if (dice < 92) {
            runner.client.down = !runner.client.down;
        } else if (dice < 94) {
            runner.client.crash();
            runners.set(runners.indexOf(runner), new Runner());
        } else if (dice < 96 && !delayed.isEmpty()) {
            commit(delayed.poll());
        } else if (dice < 97) {
            demand.put(new PoolId(random.nextBoolean() ? "lab" : "shop"), random.nextInt(9));
        } else if (dice < 98) {
            completePendingCalls();
            WorkerId worker =
                    new WorkerId((random.nextBoolean() ? "lab-" : "shop-") + random.nextInt(6));
            if (!down.remove(worker)) {
                down.add(worker);
            }
        } else if (dice < 99) {
            toggleDrain(random.nextBoolean() ? "lab" : "shop", random.nextInt(6));
        } else {
            setFloor("lab", 3 + random.nextInt(3));
        }
    }

    /** Completes all calls, so that no decision in progress predates a failure of a worker. */
    private void completePendingCalls() {
        while (!delayed.isEmpty()) {
            commit(delayed.poll());
        }
        boolean any = true;
        while (any) {
            any = false;
            for (Runner runner : runners) {
                any |= runner.client.step();
            }
            while (!delayed.isEmpty()) {
                commit(delayed.poll());
            }
        }
    }

    /** Runs without injected faults for the given time. */
    void runCalmly(long millis) {
        down.clear();
        demand.clear();
        for (Runner runner : runners) {
            runner.client.down = false;
            runner.client.reliable = true;
        }
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += 1_000) {
            runners.forEach(Runner::tick);
            completePendingCalls();
        }
    }

    List<AssignmentSpec> assignments() {
        return current.all(Kind.ASSIGNMENTS).values().stream()
                .map(versioned -> (AssignmentSpec) versioned.spec())
                .toList();
    }

    Map<String, Object> status() {
        Map<WaveId, WaveRow> rows = new HashMap<>();
        join(table.read(WaveRow.key(WAVE)))
                .ifPresent(row -> rows.put(WAVE, waves.decode(row.value())));
        FleetState state = new FleetState(current, w -> true, rows, Set.of());
        return WaveStatus.of(state, WAVE, nowMillis);
    }

    private CommitResult commit(Transaction transaction) {
        ConfigSnapshot before = current;
        CommitResult result = join(table.commit(transaction));
        if (result.isCommitted()) {
            current = load();
            checkBudgets(before);
            before.all(Kind.ASSIGNMENTS).forEach(this::checkStep);
        }
        return result;
    }

    private ConfigSnapshot load() {
        return join(new ConfigReader(table, codecs).load());
    }

    private void checkBudgets(ConfigSnapshot before) {
        Map<PoolId, PoolBudget> budgetsBefore = PoolBudget.all(before, w -> !down.contains(w));
        PoolBudget.all(current, w -> !down.contains(w))
                .forEach(
                        (pool, budget) -> {
                            if (budget.healthy() < budgetsBefore.get(pool).healthy()
                                    && budget.spare() < 0) {
                                faults.add("budget of " + pool + " broken: " + budget);
                            }
                        });
    }

    private void checkStep(String name, Versioned versioned) {
        WorkerId worker = new WorkerId(name);
        AssignmentSpec previous = (AssignmentSpec) versioned.spec();
        AssignmentSpec next = current.assignment(worker).orElseThrow();
        if (previous.equals(next)) {
            return;
        }
        if (next.phase() == WorkerPhase.DRAINING) {
            // Work sent before the drain takes effect everywhere ends within the maximum request
            // duration.
            busyUntilMillis.put(worker, nowMillis + 3_000 + random.nextInt(60_000));
        }
        boolean isMoved = !previous.pool().equals(next.pool());
        moves += isMoved ? 1 : 0;
        boolean needsIdle = isMoved || next.phase() == WorkerPhase.DRAINED;
        if (needsIdle && nowMillis < busyUntilMillis.getOrDefault(worker, 0L)) {
            faults.add(name + " is " + next + " while it runs something");
        }
        if (isMoved && previous.phase() == WorkerPhase.ACTIVE) {
            faults.add(name + " moved without a drain");
        }
        List<String> drainedIn = new ArrayList<>();
        for (String pool : List.of("lab", "shop", "spare")) {
            join(table.read(BudgetRow.key(new PoolId(pool))))
                    .map(Row::value)
                    .map(budgets::decode)
                    .filter(budget -> budget.drains().containsKey(name))
                    .ifPresent(budget -> drainedIn.add(pool));
        }
        List<String> expected =
                next.phase() == WorkerPhase.ACTIVE ? List.of() : List.of(next.pool().value());
        if (!drainedIn.equals(expected)) {
            faults.add(name + " is out of service in " + drainedIn + ", not in " + expected);
        }
    }

    private CompletionStage<ControlState> reboot(String operation, WorkerId worker) {
        Versioned present = current.all(Kind.ASSIGNMENTS).get(worker.value());
        boolean isDue = operation.equals(worker + "-r" + present.revision());
        if (operations.add(operation) && !isDue) {
            faults.add(worker + " is rebooted as " + operation + " in " + present);
        }
        return control.run(operation, worker, null);
    }

    private Activity activity(WorkerId worker) {
        boolean busy = nowMillis < busyUntilMillis.getOrDefault(worker, 0L);
        // In a third of the calls, the report of another instance is missing.
        return new Activity(
                random.nextInt(3) == 0 ? OptionalInt.empty() : OptionalInt.of(busy ? 1 : 0),
                OptionalInt.of(0));
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private final class Runner {
        private final UnreliableTable client =
                new UnreliableTable(table, MaintenanceSimulation.this::commit, random, delayed);
        private final WaveRunner waveRunner;
        private final MoveRunner moveRunner;
        private boolean wavesBusy;
        private boolean movesBusy;

        private Runner() {
            ConfigStore store = new ConfigStore(client, codecs, () -> "runner" + ids++);
            Supplier<ConfigSnapshot> known = () -> current;
            AssignmentWriter writer =
                    new AssignmentWriter(
                            client,
                            new ConfigReader(client, codecs),
                            budgets,
                            known,
                            write -> store.write(known.get(), rule.apply(write)));
            FleetView view =
                    new FleetView(
                            w -> !down.contains(w), MaintenanceSimulation.this::activity, Set::of);
            waveRunner =
                    new WaveRunner(
                            client,
                            writer,
                            waves,
                            (operation, worker, action) -> reboot(operation, worker),
                            view,
                            () -> nowMillis,
                            () -> nowMillis);
            moveRunner =
                    new MoveRunner(
                            writer, view, s -> new PoolNeeds(demand, Set.of()), () -> nowMillis);
        }

        private void tick() {
            if (!wavesBusy) {
                wavesBusy = true;
                run(waveRunner.tick(NO_FENCE)).thenAccept(done -> wavesBusy = false);
            }
            if (!movesBusy) {
                movesBusy = true;
                run(moveRunner.tick(NO_FENCE)).thenAccept(done -> movesBusy = false);
            }
        }

        private CompletableFuture<Void> run(CompletionStage<Void> tick) {
            return tick.<Void>handle((nothing, failure) -> null).toCompletableFuture();
        }
    }
}
