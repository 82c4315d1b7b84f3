package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.time.VirtualTime;

/**
 * Simulates two instances that drive jobs on a fake platform under virtual time, and checks
 * invariants after each step.
 */
final class JobSimulation {
    static final int SLOTS = 8;
    static final int LIMIT = 10;
    private static final long STEP_MILLIS = 100;

    final VirtualTime time = new VirtualTime();
    final FaultyTable table = new FaultyTable(time);
    final FakeTaskRunner runner;
    final List<Instance> instances = new ArrayList<>();
    final TreeSet<String> violations = new TreeSet<>();
    final List<JobId> submitted = new ArrayList<>();
    private final Random random;
    private final JobCodecs codecs =
            new JobCodecs(
                    new MemoryCodec<>(),
                    new MemoryCodec<>(),
                    new MemoryCodec<>(),
                    new MemoryCodec<>());
    private final MemoryCodec<LeaseRow> leaseCodec = new MemoryCodec<>();
    private final Map<String, Long> doneVersions = new HashMap<>();
    private final ConfigSource config;
    private int steps;

    JobSimulation(long seed, int workers, Predicate<Condition> omitted) {
        random = new Random(seed);
        runner = new FakeTaskRunner(time, seed);
        config = config(workers);
        for (int i = 0; i < 2; i++) {
            instances.add(new Instance("i" + i, new PausableTable(table, omitted)));
        }
    }

    static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    JobSpec spec(String team, int slots, long runMillis, boolean fails, boolean urgent) {
        String command = team + "," + slots + "," + runMillis + "," + (fails ? "fail" : "ok");
        int declarationError = 1 + random.nextInt(8);
        return new JobSpec(
                new TeamId(team),
                "",
                command,
                2,
                1_024,
                0,
                slots,
                Math.max(1, runMillis / declarationError),
                urgent,
                0,
                0,
                3);
    }

    /** Submits as a client that repeats the submission until it gets a response. */
    JobId submit(JobSpec spec) {
        JobId id = new JobId("job" + submitted.size());
        submitted.add(id);
        repeat(() -> instances.get(0).store.submit(id, spec, time.nowMillis()), 200);
        return id;
    }

    void cancel(JobId id, TeamId team) {
        repeat(() -> instances.get(0).store.cancel(team, id), 200);
    }

    void run(long millis) {
        long untilMillis = time.nowMillis() + millis;
        while (time.nowMillis() < untilMillis) {
            time.advance(STEP_MILLIS);
            steps++;
            for (int i = 0; i < instances.size(); i++) {
                Instance instance = instances.get(i);
                if (instance.table.isPaused()) {
                    continue;
                }
                if ((steps + i * 7) % 20 == 0) {
                    instance.keeper.tick();
                }
                if ((steps + i) % 2 == 0) {
                    instance.driver.tick();
                }
            }
            check();
        }
    }

    JobRow find(JobId id) {
        List<Row> rows = new ArrayList<>();
        table.actual().read(JobKeys.openJob(id)).thenAccept(row -> row.ifPresent(rows::add));
        table.actual().read(JobKeys.endedJob(id)).thenAccept(row -> row.ifPresent(rows::add));
        if (rows.size() != 1) {
            throw new AssertionError("job " + id + " has " + rows.size() + " rows");
        }
        return codecs.job().decode(rows.get(0).value());
    }

    List<LedgerEntry> ledger() {
        return join(table.actual().scan(LedgerEntry.PREFIX)).stream()
                .map(row -> codecs.ledger().decode(row.value()))
                .toList();
    }

    private void check() {
        Map<String, Integer> slots = new TreeMap<>();
        for (Row row : join(table.actual().scan(JobKeys.OPEN_PREFIX))) {
            JobRow job = codecs.job().decode(row.value());
            if (job.state().holdsUnits()) {
                slots.merge(job.worker(), job.spec().slots(), Integer::sum);
            }
        }
        slots.forEach(
                (worker, taken) -> {
                    if (taken > SLOTS) {
                        violations.add("worker " + worker + " has more than its slots");
                    }
                });
        for (String team : List.of("a", "b", "c")) {
            if (runner.runningSlots(team) > LIMIT) {
                violations.add("team " + team + " runs more than its limit");
            }
        }
        for (Row row : join(table.actual().scan("job-done/"))) {
            if (doneVersions.computeIfAbsent(row.key().value(), key -> row.version())
                    != row.version()) {
                violations.add("final state of " + row.key() + " changed");
            }
        }
    }

    private <T> void repeat(Supplier<CompletionStage<T>> call, int tries) {
        CompletionStage<T> stage = call.get();
        stage.whenComplete(
                (value, thrown) -> {
                    if (thrown != null && tries > 0) {
                        time.schedule(500, () -> repeat(call, tries - 1));
                    }
                });
    }

    private static ConfigSource config(int workers) {
        SortedMap<String, Versioned> teams = new TreeMap<>();
        int weight = 1;
        for (String team : List.of("a", "b", "c")) {
            teams.put(team, new Versioned(Revision.NONE, new TeamSpec(weight++, LIMIT)));
        }
        SortedMap<String, Versioned> workersByName = new TreeMap<>();
        for (int i = 0; i < workers; i++) {
            workersByName.put(
                    "w" + i,
                    new Versioned(
                            Revision.NONE,
                            new WorkerSpec(
                                    new PoolId("p"),
                                    "10.0.0.1:80",
                                    new ZoneId("z"),
                                    new RackId("r"),
                                    SLOTS,
                                    64,
                                    32,
                                    131_072,
                                    0,
                                    false)));
        }
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        resources.put(Kind.TEAMS, teams);
        resources.put(Kind.WORKERS, workersByName);
        ConfigSnapshot snapshot = ConfigSnapshot.of(Revision.NONE, resources);
        return new ConfigSource() {
            @Override
            public ConfigSnapshot snapshot() {
                return snapshot;
            }

            @Override
            public boolean isValid() {
                return true;
            }
        };
    }

    /** One simulated instance. */
    final class Instance {
        final PausableTable table;
        final JobStore store;
        final LeaseKeeper keeper;
        final JobDriver driver;

        private Instance(String name, PausableTable table) {
            this.table = table;
            store = new JobStore(table, codecs);
            keeper = new LeaseKeeper(table, leaseCodec, "jobs", new InstanceId(name), time);
            driver = new JobDriver(store, runner, config, keeper::current, time, time, 100);
        }
    }
}
