package org.quetzalscale.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;

/**
 * Simulates instances, workers and a store in virtual time, with faults drawn from a seed. The runs
 * on the workers must keep the rules of {@link RunHistory}, and all jobs must end once the faults
 * are over.
 */
final class FleetSimulation implements SimulatedNetworkFaults.Fleet {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 3;
    private static final int WORKERS_IN_ZONES = 6;
    private static final int WORKERS_OF_A_LARGE_FLEET = 100;
    private static final int SLOW_CONNECT_MILLIS = 25;
    private static final int CAPACITY = 8;
    private static final int JOBS = 12;
    private static final int JOBS_WITH_LOST_RENEWALS = 70;
    private static final int FAULT_COUNT = 8;
    private static final int MAX_LISTED_ENDS = 2;
    private static final long UNLISTED_INTERVAL_MILLIS = 4_000;
    private static final int MIN_UNLISTED_MILLIS = 1_000;
    private static final int UNLISTED_SPREAD_MILLIS = 7_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final int LASTING_JOB = JOBS + 1;
    private static final int SLOW_LOAD_MILLIS = 4_900;
    private static final double FAILURE_PROBABILITY = 0.1;
    private static final long FAULT_PERIOD_MILLIS = 16_000;
    private static final int FAULT_PERIOD_MILLIS_OF_CRASHES = 8_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long WORKER_RESTART_MILLIS = 3_000;
    private static final long END_MILLIS = 45_000;
    private static final long END_WITH_LOST_RENEWALS_MILLIS = 90_000;

    private final SimulationVariant variant;
    private final SimulationFaults injected;
    private final Random random;
    private final VirtualLoop loop = new VirtualLoop();
    private final LastingTaskHistory lasting =
            new LastingTaskHistory(loop, SimulatedJobs.MAX_UNAVAILABLE);
    private final RunHistory history = new RunHistory(MAX_ATTEMPTS, lasting);
    private final SimulatedEvacuations evacuations;
    private final SimulatedStore store;
    private final SimulatedCalls.CallFaults callFaults = new SimulatedCalls.CallFaults();
    private final Map<WorkerId, SimulatedWorker> workers = new LinkedHashMap<>();
    private final Map<JobId, JobDefinition> jobs = new LinkedHashMap<>();
    private final SimulatedInstances instances =
            new SimulatedInstances(loop, history, SimulatedJobs.POOL, this::replaceWorker);
    private final SimulatedNetwork network;
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    FleetSimulation(SimulationVariant variant, long seed) {
        this(variant, SimulationFaults.DRAWN, seed);
    }

    FleetSimulation(SimulationVariant variant, SimulationFaults injected, long seed) {
        this.variant = variant;
        this.injected = injected;
        random = new Random(seed);
        store = new SimulatedStore(loop, random);
        network = new SimulatedNetwork(loop, store);
        evacuations = new SimulatedEvacuations(loop, store, random, faults::add);
    }

    /** An instance, which runs one process at a time. */
    private final class Node implements SimulatedNetworkFaults.Instance {
        final String name;
        SimulatedProcess process;
        JobGateway gateway;
        OwnerService owner;

        Node(String name) {
            this.name = name;
            start();
        }

        void start() {
            process = new SimulatedProcess(loop);
            LoopClock clock =
                    new LoopClock(
                            loop.executor(process::run),
                            loop::nowMillis,
                            () -> SimulatedJobs.EPOCH_MILLIS + loop.nowMillis());
            FeedTable table = store.clientFor(process);
            PolicyWatcher policies =
                    new PolicyWatcher(
                            table, clock, SimulatedJobs.operatorRows(MAX_ATTEMPTS, instances));
            owner =
                    new OwnerService(
                            context(name, clock, table, process), policies, new OwnerPreference(1));
            network.add(name, process, owner);
            if (injected == SimulationFaults.JOINING_INSTANCE) {
                network.join(name, process);
            }
            gateway = new JobGateway(table, clock, () -> false, new CallRetryBudget(), count -> {});
            policies.start();
            owner.start();
        }

        boolean ownsFleet() {
            return process.isAlive() && owner.isOwner();
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public SimulatedProcess process() {
            return process;
        }

        @Override
        public void kill(long downMillis) {
            if (!process.isAlive()) {
                return;
            }
            process.kill();
            loop.after(downMillis, this::start);
        }
    }

    /** Runs the simulation and returns the violations that it found. */
    List<String> run() {
        store.put("op//config", "policy");
        for (int number = 1; number <= workerCount(); number++) {
            instances.add(new InstanceId("m-" + number), addWorker("i-" + number));
        }
        for (int number = 1; number <= INSTANCES; number++) {
            nodes.add(new Node("node-" + number));
        }
        for (int number = 1; number <= jobCount(); number++) {
            JobDefinition job = SimulatedJobs.drawn(number, random);
            jobs.put(job.id(), job);
            history.addJob(job);
            loop.after(random.nextInt((int) FAULT_PERIOD_MILLIS), () -> submit(job));
        }
        if (variant != SimulationVariant.PLAIN) {
            addLastingJob();
        }
        if (variant == SimulationVariant.EVACUATION) {
            evacuations.begin(history);
        } else if (variant != SimulationVariant.PLAIN) {
            loop.after(3_000, () -> store.put("op//wave/1", "wave"));
        }
        scheduleFaults();
        loop.runUntil(
                injected == SimulationFaults.LOST_RENEWALS
                        ? END_WITH_LOST_RENEWALS_MILLIS
                        : END_MILLIS);
        List<String> found = history.violations();
        if (injected == SimulationFaults.SLOW_TAKEOVER) {
            found.addAll(history.expirations());
        }
        found.addAll(unfinishedWork());
        return found;
    }

    private void scheduleFaults() {
        switch (injected) {
            case SLOW_CONNECTIONS -> {
                callFaults.connectMillis = SLOW_CONNECT_MILLIS;
                loop.after(FAULT_PERIOD_MILLIS / 2, () -> nodes.forEach(node -> node.kill(1_000)));
            }
            case CRASHING_TASK ->
                    loop.after(
                            500 + random.nextInt(FAULT_PERIOD_MILLIS_OF_CRASHES),
                            () -> killOwner(RESTART_MILLIS));
            case SLOW_TAKEOVER ->
                    loop.after(
                            FAULT_PERIOD_MILLIS / 2 + random.nextInt(1_000),
                            () -> {
                                store.jobReadMillis = SLOW_LOAD_MILLIS;
                                killOwner(FAULT_PERIOD_MILLIS);
                            });
            case UNLISTED_WORKERS ->
                    loop.after(UNLISTED_INTERVAL_MILLIS, this::removeEntryAndOwner);
            case LOST_RENEWALS,
                    PARTITIONED_OWNER,
                    SLOW_ENTRIES,
                    QUICK_RESTARTS,
                    LATE_LISTS,
                    JOINING_INSTANCE ->
                    new SimulatedNetworkFaults(faultParts(), this).begin(injected);
            default -> {
                store.jobReadMillis =
                        injected == SimulationFaults.SLOW_LOADS ? SLOW_LOAD_MILLIS : 0;
                SimulatedDrawnFaults drawn =
                        new SimulatedDrawnFaults(faultParts(), this, evacuations);
                for (int i = 0; i < FAULT_COUNT; i++) {
                    loop.after(500 + random.nextInt((int) FAULT_PERIOD_MILLIS), drawn::inject);
                }
            }
        }
    }

    private SimulatedNetworkFaults.Parts faultParts() {
        return new SimulatedNetworkFaults.Parts(
                loop, random, store, network, instances, callFaults, faults);
    }

    /** How often an instance took the fleet's lease. */
    long acquisitions() {
        return store.writesOf(FleetRows.OWNER);
    }

    private int workerCount() {
        if (variant == SimulationVariant.EVACUATION) {
            return WORKERS_IN_ZONES;
        }
        return injected == SimulationFaults.SLOW_CONNECTIONS ? WORKERS_OF_A_LARGE_FLEET : WORKERS;
    }

    private int jobCount() {
        return injected == SimulationFaults.LOST_RENEWALS ? JOBS_WITH_LOST_RENEWALS : JOBS;
    }

    private void killOwner(long downMillis) {
        forOwner(
                node -> {
                    faults.add(loop.nowMillis() + ": " + node.name + " is killed");
                    node.kill(downMillis);
                });
    }

    /** Removes the entry of a worker for some seconds, and meanwhile kills or freezes the owner. */
    private void removeEntryAndOwner() {
        if (loop.nowMillis() > FAULT_PERIOD_MILLIS) {
            return;
        }
        loop.after(UNLISTED_INTERVAL_MILLIS, this::removeEntryAndOwner);
        SimulatedWorker worker = presentWorker();
        long unlistedMillis = MIN_UNLISTED_MILLIS + random.nextInt(UNLISTED_SPREAD_MILLIS);
        faults.add(loop.nowMillis() + ": no entry of " + worker.id + " for " + unlistedMillis);
        removeEntry(worker, unlistedMillis);
        loop.after(random.nextInt(UNLISTED_SPREAD_MILLIS / 2), this::killOrFreezeOwner);
    }

    @Override
    public void removeEntry(SimulatedWorker worker, long millis) {
        applyFor(
                millis,
                () -> store.delete("servers//" + worker.id),
                () -> {
                    if (instances.workers().contains(worker)) {
                        register(worker);
                    }
                });
    }

    private void killOrFreezeOwner() {
        long millis = MIN_UNLISTED_MILLIS + random.nextInt(UNLISTED_SPREAD_MILLIS);
        if (random.nextBoolean()) {
            killOwner(RESTART_MILLIS);
            return;
        }
        faults.add(loop.nowMillis() + ": the owner is frozen for " + millis);
        forOwner(node -> node.process.freeze(millis));
    }

    private void forOwner(Consumer<Node> action) {
        nodes.stream().filter(Node::ownsFleet).forEach(action);
    }

    @Override
    public List<SimulatedProcess> owners() {
        return nodes.stream().filter(Node::ownsFleet).map(node -> node.process).toList();
    }

    @Override
    public List<SimulatedNetworkFaults.Instance> instances() {
        return List.copyOf(nodes);
    }

    @Override
    public List<SimulatedProcess> processes() {
        return nodes.stream().map(node -> node.process).filter(SimulatedProcess::isAlive).toList();
    }

    @Override
    public void restartSibling(long downMillis) {
        Node node = nodes.stream().filter(each -> !each.ownsFleet()).findFirst().orElseThrow();
        faults.add(loop.nowMillis() + ": " + node.name + " is restarted");
        network.leave(node.name);
        node.kill(downMillis);
    }

    @Override
    public SimulatedWorker presentWorker() {
        List<SimulatedWorker> present = instances.workers();
        return present.get(random.nextInt(present.size()));
    }

    private void addLastingJob() {
        JobDefinition service = SimulatedJobs.lasting(LASTING_JOB);
        jobs.put(service.id(), service);
        history.addJob(service);
        for (int index = 0; index < SimulatedJobs.LASTING_TASKS; index++) {
            lasting.addTask(new TaskRef(service.id(), 0, 0, index));
        }
        submit(service);
    }

    /** The injected faults, for the message of a failed check. */
    List<String> faults() {
        return faults;
    }

    private void submit(JobDefinition job) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        node.gateway
                .submit(job, loop.nowMillis() + 2_000)
                .whenComplete((ok, failure) -> accepted.complete(failure == null));
        loop.after(
                2_000,
                () -> {
                    if (!accepted.getNow(false)) {
                        submit(job);
                    }
                });
    }

    private void applyFor(long millis, Runnable begin, Runnable end) {
        begin.run();
        loop.after(millis, end);
    }

    @Override
    public void crashWorker(SimulatedWorker worker, long downMillis) {
        if (!worker.up) {
            return;
        }
        worker.crash(false);
        restartLater(worker, downMillis);
    }

    private void restartLater(SimulatedWorker worker, long downMillis) {
        loop.after(
                downMillis,
                () -> {
                    worker.restart();
                    register(worker);
                });
    }

    /** Adds a worker and its entry. */
    private SimulatedWorker addWorker(String name) {
        SimulatedWorker worker =
                new SimulatedWorker(name, CAPACITY, FAILURE_PROBABILITY, loop, random, history);
        if (injected == SimulationFaults.CUT_LISTS) {
            worker.maxListedEnds = MAX_LISTED_ENDS;
        }
        if (injected == SimulationFaults.CRASHING_TASK) {
            worker.crashes = new TaskRef(new JobId(String.format("%016x", 1)), 0, 0, 0)::equals;
            worker.onCrashByTask = () -> restartLater(worker, WORKER_RESTART_MILLIS);
        }
        workers.put(new WorkerId(name), worker);
        register(worker);
        return worker;
    }

    /** Returns the worker that runs on an instance after its maintenance. */
    private SimulatedWorker replaceWorker(InstanceId id, SimulatedWorker ended) {
        if (variant == SimulationVariant.SAME_WORKERS) {
            ended.restart();
            register(ended);
            return ended;
        }
        store.delete("servers//" + ended.id);
        return addWorker(ended.id + "-next");
    }

    private void register(SimulatedWorker worker) {
        store.put("servers//" + worker.id, Long.toString(worker.incarnationStartMillis));
    }

    private List<String> unfinishedWork() {
        List<String> found = new ArrayList<>();
        if (variant != SimulationVariant.PLAIN && !lasting.allAvailable()) {
            found.add("a lasting task is unavailable");
        }
        if (variant == SimulationVariant.EVACUATION
                && lasting.tasks().stream().anyMatch(this::isLeft)) {
            found.add("a lasting task is left in the evacuated zone");
        }
        if (variant != SimulationVariant.PLAIN
                && variant != SimulationVariant.EVACUATION
                && !instances.allMaintained()) {
            found.add("the wave is not done");
        }
        Set<JobId> finite = new LinkedHashSet<>(jobs.keySet());
        finite.remove(SimulatedJobs.lasting(LASTING_JOB).id());
        found.addAll(new RecordedPhases(store, history).violations(finite));
        return found;
    }

    private boolean isLeft(TaskRef task) {
        return history.workerOf(task).filter(evacuations::isEvacuated).isPresent();
    }

    private double need(TaskRef task) {
        return jobs.get(task.job()).steps().get(task.step()).need().cores();
    }

    private FleetContext context(
            String name, LoopClock clock, FeedTable table, SimulatedProcess process) {
        return new FleetContext(
                new InstanceId(name),
                clock,
                table,
                new SimulatedCalls(loop, random, process, workers, this::need, callFaults),
                new FleetContext.WorkerRows("servers", "servers//", this::entry),
                instances.clientFor(process),
                new FleetContext.WaveStatusRows(
                        number -> new RowKey("status//wave/" + number), (number, done) -> ""),
                new FleetContext.Times(3_000, SimulatedInstances.MAINTENANCE_MILLIS, 120_000),
                new FleetMetrics(),
                () -> network.askSiblings(process),
                false);
    }

    private WorkerEntry entry(String id, String started) {
        return new WorkerEntry(
                new WorkerId(id),
                SimulatedJobs.POOL,
                variant == SimulationVariant.EVACUATION
                        ? SimulatedEvacuations.zoneOf(id)
                        : new ZoneId("z"),
                new InetSocketAddress("127.0.0.1", 1),
                new Resources(CAPACITY, 1_000, 0, 0),
                List.of("a", "r"),
                "r",
                false,
                0,
                Long.parseLong(started));
    }
}
