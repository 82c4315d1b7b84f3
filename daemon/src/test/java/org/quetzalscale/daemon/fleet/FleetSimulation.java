package org.quetzalscale.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.instance.WaveRequest;
import org.quetzalscale.core.lease.OwnerPreference;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;

/**
 * Simulates instances, workers and a store in virtual time, with faults drawn from a seed. The runs
 * on the workers must keep the rules of {@link RunHistory}, and all jobs must end once the faults
 * are over.
 */
final class FleetSimulation {
    private static final int INSTANCES = 3;
    private static final int WORKERS = 3;
    private static final int WORKERS_IN_ZONES = 6;
    private static final int WORKERS_OF_A_LARGE_FLEET = 100;
    private static final int SLOW_CONNECT_MILLIS = 25;
    private static final int CAPACITY = 8;
    private static final int JOBS = 12;
    private static final int JOBS_WITH_LOST_RENEWALS = 70;
    private static final int SLOW_CALLS_MILLIS = 150;
    private static final long LOST_RENEWALS_INTERVAL_MILLIS = 3_500;
    private static final int FAULT_COUNT = 8;
    private static final long UNLISTED_INTERVAL_MILLIS = 4_000;
    private static final int MIN_UNLISTED_MILLIS = 1_000;
    private static final int UNLISTED_SPREAD_MILLIS = 7_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final int LASTING_JOB = JOBS + 1;
    private static final long WAVE_MILLIS = 25_000;
    private static final int SLOW_LOAD_MILLIS = 4_900;
    private static final double FAILURE_PROBABILITY = 0.1;
    private static final long FAULT_PERIOD_MILLIS = 16_000;
    private static final int FAULT_PERIOD_MILLIS_OF_CRASHES = 8_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long WORKER_RESTART_MILLIS = 3_000;
    private static final long END_MILLIS = 45_000;
    private static final long END_WITH_LOST_RENEWALS_MILLIS = 90_000;

    private final Variant variant;
    private final Faults injected;
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
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    FleetSimulation(Variant variant, long seed) {
        this(variant, Faults.DRAWN, seed);
    }

    FleetSimulation(Variant variant, Faults injected, long seed) {
        this.variant = variant;
        this.injected = injected;
        random = new Random(seed);
        store = new SimulatedStore(loop, random);
        evacuations = new SimulatedEvacuations(loop, store, random, faults::add);
    }

    /** What a simulation contains besides short jobs and faults. */
    enum Variant {
        PLAIN,
        /**
         * A lasting step, and a wave over all instances; each maintained worker is replaced by a
         * new one.
         */
        MAINTENANCE,
        /**
         * As {@link #MAINTENANCE}, but workers return from maintenance under their previous ids.
         */
        SAME_WORKERS,
        /**
         * A lasting step, and workers in three zones, which operators evacuate and restore one
         * after the other; the last one is not restored.
         */
        EVACUATION
    }

    /** Which faults a simulation injects. */
    enum Faults {
        /** Faults of all kinds at times that are drawn. */
        DRAWN,
        /**
         * Again and again the owner's transactions get no answers while its reads do, with many
         * more jobs. Another instance takes over, and for a moment both learn of submitted jobs.
         */
        LOST_RENEWALS,
        /**
         * All instances are killed, and the next owner calls a hundred workers with a slow
         * processor.
         */
        SLOW_CONNECTIONS,
        /**
         * A task crashes each worker that starts it, and the owner is killed once meanwhile.
         * Workers return after some seconds.
         */
        CRASHING_TASK,
        /** Those of {@link #DRAWN}, and a new owner reads the jobs for seconds. */
        SLOW_LOADS,
        /**
         * The owner is killed once, and the next one reads the jobs for almost as long as a lease
         * of a worker lasts. The lease of no run may expire.
         */
        SLOW_TAKEOVER,
        /**
         * Again and again a worker is cut off from the store, so that its entry is removed for some
         * seconds, and meanwhile the owner is killed, or frozen until after the next one has taken
         * over.
         */
        UNLISTED_WORKERS
    }

    /** An instance, which runs one process at a time. */
    private final class Node {
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
            PolicyWatcher policies = new PolicyWatcher(table, clock, operatorRows());
            owner =
                    new OwnerService(
                            context(name, clock, table, process), policies, new OwnerPreference(1));
            gateway = new JobGateway(table, clock, () -> false, new CallRetryBudget(), count -> {});
            policies.start();
            owner.start();
        }

        /**
         * Kills the process, and starts the next one later. Does nothing without a live process,
         * since an instance never runs two processes at once.
         */
        void kill(long downMillis) {
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
        if (variant != Variant.PLAIN) {
            addLastingJob();
        }
        if (variant == Variant.EVACUATION) {
            evacuations.begin(history);
        } else if (variant != Variant.PLAIN) {
            loop.after(3_000, () -> store.put("op//wave/1", "wave"));
        }
        scheduleFaults();
        loop.runUntil(
                injected == Faults.LOST_RENEWALS ? END_WITH_LOST_RENEWALS_MILLIS : END_MILLIS);
        List<String> found = history.violations();
        if (injected == Faults.SLOW_TAKEOVER) {
            found.addAll(history.expirations());
        }
        found.addAll(unfinishedWork());
        return found;
    }

    private void scheduleFaults() {
        switch (injected) {
            case LOST_RENEWALS -> {
                callFaults.latencySpreadMillis = SLOW_CALLS_MILLIS;
                loop.after(LOST_RENEWALS_INTERVAL_MILLIS, this::loseRenewals);
            }
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
            default -> {
                store.jobReadMillis = injected == Faults.SLOW_LOADS ? SLOW_LOAD_MILLIS : 0;
                for (int i = 0; i < FAULT_COUNT; i++) {
                    loop.after(500 + random.nextInt((int) FAULT_PERIOD_MILLIS), this::injectFault);
                }
            }
        }
    }

    /** How often an instance took the fleet's lease. */
    long acquisitions() {
        return store.writesOf(FleetRows.OWNER);
    }

    private int workerCount() {
        if (variant == Variant.EVACUATION) {
            return WORKERS_IN_ZONES;
        }
        return injected == Faults.SLOW_CONNECTIONS ? WORKERS_OF_A_LARGE_FLEET : WORKERS;
    }

    private int jobCount() {
        return injected == Faults.LOST_RENEWALS ? JOBS_WITH_LOST_RENEWALS : JOBS;
    }

    private void killOwner(long downMillis) {
        for (Node node : nodes) {
            if (node.process.isAlive() && node.owner.isOwner()) {
                faults.add(loop.nowMillis() + ": " + node.name + " is killed");
                node.kill(downMillis);
            }
        }
    }

    private void removeEntryAndOwner() {
        if (loop.nowMillis() > FAULT_PERIOD_MILLIS) {
            return;
        }
        loop.after(UNLISTED_INTERVAL_MILLIS, this::removeEntryAndOwner);
        List<SimulatedWorker> present = instances.workers();
        SimulatedWorker worker = present.get(random.nextInt(present.size()));
        long unlistedMillis = MIN_UNLISTED_MILLIS + random.nextInt(UNLISTED_SPREAD_MILLIS);
        faults.add(loop.nowMillis() + ": no entry of " + worker.id + " for " + unlistedMillis);
        applyFor(
                unlistedMillis,
                () -> store.delete("servers//" + worker.id),
                () -> {
                    if (instances.workers().contains(worker)) {
                        register(worker);
                    }
                });
        loop.after(random.nextInt(UNLISTED_SPREAD_MILLIS / 2), this::killOrFreezeOwner);
    }

    private void killOrFreezeOwner() {
        if (random.nextBoolean()) {
            killOwner(RESTART_MILLIS);
            return;
        }
        long millis = MIN_UNLISTED_MILLIS + random.nextInt(UNLISTED_SPREAD_MILLIS);
        for (Node node : nodes) {
            if (node.process.isAlive() && node.owner.isOwner()) {
                faults.add(loop.nowMillis() + ": " + node.name + " is frozen for " + millis);
                node.process.freeze(millis);
            }
        }
    }

    private void loseRenewals() {
        if (loop.nowMillis() > FAULT_PERIOD_MILLIS) {
            return;
        }
        loop.after(LOST_RENEWALS_INTERVAL_MILLIS, this::loseRenewals);
        for (Node node : nodes) {
            if (node.owner.isOwner()) {
                faults.add(loop.nowMillis() + ": transactions of " + node.name + " unanswered");
                SimulatedProcess process = node.process;
                applyFor(
                        3_000,
                        () -> process.store = SimulatedProcess.StoreAccess.COMMITS_NOT_ANSWERED,
                        () -> process.store = SimulatedProcess.StoreAccess.SERVED);
            }
        }
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

    private void injectFault() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        long millis = 500 + random.nextInt(4_000);
        int kind = random.nextInt(10);
        if (kind >= 3 && kind <= 6) {
            evacuations.disturbStore(millis);
        }
        faults.add(loop.nowMillis() + ": kind " + kind + " on " + node.name + " for " + millis);
        switch (kind) {
            case 0 -> node.kill(millis);
            case 1 -> nodes.forEach(each -> each.kill(millis));
            case 2 -> node.process.freeze(millis);
            case 3 ->
                    applyFor(
                            millis,
                            () -> store.unavailable = true,
                            () -> store.unavailable = false);
            case 4 -> restrictStore(node, SimulatedProcess.StoreAccess.REFUSED, millis);
            case 5 -> restrictStore(node, SimulatedProcess.StoreAccess.NOT_ANSWERED, millis);
            case 6 ->
                    applyFor(
                            millis,
                            () -> store.lostAnswerProbability = 0.3,
                            () -> store.lostAnswerProbability = 0);
            case 7 -> store.dropHistory();
            case 8 ->
                    applyFor(
                            millis,
                            () -> callFaults.delayProbability = 0.3,
                            () -> callFaults.delayProbability = 0);
            default -> crashWorker(millis);
        }
    }

    private void applyFor(long millis, Runnable begin, Runnable end) {
        begin.run();
        loop.after(millis, end);
    }

    private void restrictStore(Node node, SimulatedProcess.StoreAccess access, long millis) {
        SimulatedProcess process = node.process;
        boolean all = random.nextBoolean();
        applyFor(
                millis,
                () -> {
                    process.store = access;
                    process.cutFromWorkers = all;
                },
                () -> {
                    process.store = SimulatedProcess.StoreAccess.SERVED;
                    process.cutFromWorkers = false;
                });
    }

    /** Crashes a worker, which restarts under its id. */
    private void crashWorker(long downMillis) {
        List<SimulatedWorker> present = instances.workers();
        SimulatedWorker worker = present.get(random.nextInt(present.size()));
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
        if (injected == Faults.CRASHING_TASK) {
            worker.crashes = new TaskRef(new JobId(String.format("%016x", 1)), 0, 0, 0)::equals;
            worker.onCrashByTask = () -> restartLater(worker, WORKER_RESTART_MILLIS);
        }
        workers.put(new WorkerId(name), worker);
        register(worker);
        return worker;
    }

    /** Returns the worker that runs on an instance after its maintenance. */
    private SimulatedWorker replaceWorker(InstanceId id, SimulatedWorker ended) {
        if (variant == Variant.SAME_WORKERS) {
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
        Map<JobId, JobProgress> progress = new HashMap<>();
        for (Row row : store.rows(FleetRows.PROGRESS_PREFIX)) {
            JobProgress found = JobRowCodecs.PROGRESS.decode(row.value());
            progress.put(found.job(), found);
        }
        List<String> found = new ArrayList<>();
        if (variant != Variant.PLAIN && !lasting.allAvailable()) {
            found.add("a lasting task is unavailable");
        }
        if (variant == Variant.EVACUATION && lasting.tasks().stream().anyMatch(this::isLeft)) {
            found.add("a lasting task is left in the evacuated zone");
        }
        if (variant != Variant.PLAIN
                && variant != Variant.EVACUATION
                && !instances.allMaintained()) {
            found.add("the wave is not done");
        }
        for (JobId id : jobs.keySet()) {
            if (id.equals(SimulatedJobs.lasting(LASTING_JOB).id())) {
                continue;
            }
            JobPhase phase = progress.containsKey(id) ? progress.get(id).phase() : JobPhase.QUEUED;
            if (phase == JobPhase.COMPLETED && !history.isDone(id)) {
                found.add(id + " is completed, and not all of its tasks are done");
            } else if (phase == JobPhase.FAILED && !history.hasFailed(id)) {
                found.add(id + " is failed, and no task used up its attempts");
            } else if (!phase.isFinal()) {
                found.add(id + " is " + phase);
            }
        }
        return found;
    }

    private boolean isLeft(TaskRef task) {
        return history.workerOf(task).filter(evacuations::isEvacuated).isPresent();
    }

    private double need(TaskRef task) {
        return jobs.get(task.job()).steps().get(task.step()).need().cores();
    }

    private PolicyWatcher.OperatorRows operatorRows() {
        FleetPolicy policy = SimulatedJobs.policy(MAX_ATTEMPTS);
        return new PolicyWatcher.OperatorRows(
                "op",
                "op//",
                new RowKey("op//config"),
                "op//wave/",
                "op//evacuate/",
                text -> policy,
                text -> new WaveRequest(1, instances.ids(), WAVE_MILLIS, 1));
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
                new FleetMetrics());
    }

    private WorkerEntry entry(String id, String started) {
        return new WorkerEntry(
                new WorkerId(id),
                SimulatedJobs.POOL,
                variant == Variant.EVACUATION ? SimulatedEvacuations.zoneOf(id) : new ZoneId("z"),
                new InetSocketAddress("127.0.0.1", 1),
                new Resources(CAPACITY, 1_000, 0, 0),
                List.of("a", "r"),
                "r",
                false,
                0,
                Long.parseLong(started));
    }
}
