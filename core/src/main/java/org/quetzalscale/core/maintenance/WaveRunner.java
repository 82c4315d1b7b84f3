package org.quetzalscale.core.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.fleet.ControlState;
import org.quetzalscale.core.fleet.WorkerControl;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;

/**
 * Executes waves and declared drains. Each step follows from the stored rows alone, so another
 * instance can resume after this one has crashed.
 */
public final class WaveRunner {
    private final TransactionalTable table;
    private final AssignmentWriter assignments;
    private final DrainGrant grants;
    private final RowCodec<WaveRow> codec;
    private final WorkerControl control;
    private final FleetView fleet;
    private final DrainTracker draining;
    private final LongSupplier wallMillis;
    private volatile FleetState lastState;

    /**
     * Creates a runner that acts only in {@link #tick}.
     *
     * @param time monotonic clock
     * @param wallMillis wall clock in milliseconds since 1970, used only to estimate the end of a
     *     wave
     */
    public WaveRunner(
            TransactionalTable table,
            AssignmentWriter assignments,
            RowCodec<WaveRow> codec,
            WorkerControl control,
            FleetView fleet,
            TimeSource time,
            LongSupplier wallMillis) {
        this.table = table;
        this.assignments = assignments;
        this.grants = new DrainGrant(assignments, fleet.live());
        this.codec = codec;
        this.control = control;
        this.fleet = fleet;
        this.draining = new DrainTracker(fleet.activity(), time);
        this.wallMillis = wallMillis;
    }

    /**
     * Runs all steps that are due. Fails with STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN; the next
     * tick continues.
     *
     * @param fence the condition of the lease, required by each transaction
     */
    public CompletionStage<Void> tick(Condition fence) {
        return state().thenCompose(state -> steps(state, fence).run());
    }

    /** Returns the state that was read last, or empty before the first read. */
    public Optional<FleetState> lastState() {
        return Optional.ofNullable(lastState);
    }

    /** Reads the input of the wave planner. */
    public CompletionStage<FleetState> state() {
        return assignments
                .latest()
                .thenCombine(
                        table.scan(WaveRow.PREFIX),
                        (snapshot, rows) -> {
                            FleetState state =
                                    new FleetState(
                                            snapshot,
                                            fleet.live(),
                                            decode(rows),
                                            fleet.bursting().get());
                            lastState = state;
                            return state;
                        });
    }

    private Map<WaveId, WaveRow> decode(List<Row> rows) {
        Map<WaveId, WaveRow> waves = new HashMap<>();
        for (Row row : rows) {
            String name = row.key().value().substring(WaveRow.PREFIX.length());
            waves.put(new WaveId(name), codec.decode(row.value()));
        }
        return waves;
    }

    private Steps steps(FleetState state, Condition fence) {
        Steps steps = new Steps();
        ConfigSnapshot snapshot = state.snapshot();
        snapshot.all(Kind.WAVES).keySet().stream()
                .map(WaveId::new)
                .filter(wave -> !state.waves().containsKey(wave))
                .forEach(wave -> steps.add(() -> startWave(wave, fence)));
        state.waves().keySet().stream()
                .filter(wave -> snapshot.find(Kind.WAVES, wave.value()).isEmpty())
                .forEach(wave -> steps.add(() -> deleteRow(wave, fence)));
        snapshot.all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) ->
                                addStep(steps, snapshot, new WorkerId(name), versioned, fence));
        WavePlanner.plan(state)
                .drains()
                .forEach(
                        drain ->
                                steps.add(
                                        () ->
                                                grants.grant(
                                                        drain.worker(),
                                                        drain.pool(),
                                                        drain.reason(),
                                                        fenced(fence))));
        return steps;
    }

    private void addStep(
            Steps steps,
            ConfigSnapshot snapshot,
            WorkerId worker,
            Versioned versioned,
            Condition fence) {
        AssignmentSpec current = (AssignmentSpec) versioned.spec();
        DrainReason reason = new DrainReason(current.reason());
        Optional<WorkerSpec> spec = snapshot.worker(worker);
        if (reason.moveTarget().isPresent() || spec.isEmpty()) {
            return;
        }
        boolean isCancelled = isCancelled(snapshot, reason, spec.get());
        switch (current.phase()) {
            case DRAINING -> {
                if (isCancelled) {
                    steps.add(() -> changeAssignment(worker, versioned, active(current), fence));
                } else if (draining.isIdle(worker, versioned)) {
                    AssignmentSpec next =
                            new AssignmentSpec(
                                    current.pool(), WorkerPhase.DRAINED, current.reason());
                    steps.add(() -> changeAssignment(worker, versioned, next, fence));
                }
            }
            case DRAINED -> {
                AssignmentSpec next =
                        new AssignmentSpec(current.pool(), WorkerPhase.REBOOTING, current.reason());
                if (isCancelled) {
                    steps.add(() -> changeAssignment(worker, versioned, active(current), fence));
                } else if (reason.wave().isPresent()) {
                    steps.add(() -> changeAssignment(worker, versioned, next, fence));
                }
            }
            case REBOOTING -> steps.add(() -> reboot(snapshot, worker, versioned, fence));
            case FAILED -> {
                // To return a failed worker to service, an operator declares a drain and ends it.
                if (spec.get().drain()) {
                    steps.add(() -> changeAssignment(worker, versioned, drained(current), fence));
                }
            }
            default -> {
                // The planner handles active workers.
            }
        }
    }

    private static boolean isCancelled(
            ConfigSnapshot snapshot, DrainReason reason, WorkerSpec worker) {
        if (reason.equals(DrainReason.DECLARED)) {
            return !worker.drain();
        }
        return reason.wave()
                .flatMap(wave -> snapshot.find(Kind.WAVES, wave.value()))
                .map(versioned -> ((WaveSpec) versioned.spec()).aborted())
                .orElse(true);
    }

    private static AssignmentSpec active(AssignmentSpec current) {
        return new AssignmentSpec(current.pool(), WorkerPhase.ACTIVE, "");
    }

    private static AssignmentSpec drained(AssignmentSpec current) {
        return new AssignmentSpec(current.pool(), WorkerPhase.DRAINED, DrainReason.DECLARED.text());
    }

    private CompletionStage<?> changeAssignment(
            WorkerId worker, Versioned before, AssignmentSpec next, Condition fence) {
        return assignments.change(worker, AssignmentRule.step(worker, before, next), fenced(fence));
    }

    /**
     * Requests the reboot from the platform, or its progress. The operation is named after the
     * revision that started it, so that all instances request the same operation.
     */
    private CompletionStage<?> reboot(
            ConfigSnapshot snapshot, WorkerId worker, Versioned versioned, Condition fence) {
        AssignmentSpec current = (AssignmentSpec) versioned.spec();
        Optional<WaveId> wave = new DrainReason(current.reason()).wave();
        Optional<Versioned> declared = wave.flatMap(id -> snapshot.find(Kind.WAVES, id.value()));
        WaveAction action =
                declared.map(found -> ((WaveSpec) found.spec()).action()).orElse(WaveAction.REBOOT);
        String operation = worker + "-r" + versioned.revision();
        return control.run(operation, worker, action)
                .thenCompose(
                        state -> {
                            if (state == ControlState.RUNNING) {
                                return CompletableFuture.completedFuture(null);
                            }
                            boolean failed = state == ControlState.FAILED;
                            return finish(worker, versioned, failed, wave, declared, fence);
                        });
    }

    private CompletionStage<?> finish(
            WorkerId worker,
            Versioned versioned,
            boolean failed,
            Optional<WaveId> wave,
            Optional<Versioned> declared,
            Condition fence) {
        AssignmentSpec current = (AssignmentSpec) versioned.spec();
        AssignmentSpec next =
                failed
                        ? new AssignmentSpec(current.pool(), WorkerPhase.FAILED, current.reason())
                        : active(current);
        if (wave.isEmpty() || declared.isEmpty()) {
            return changeAssignment(worker, versioned, next, fence);
        }
        double threshold = ((WaveSpec) declared.get().spec()).failureThreshold();
        long revision = declared.get().revision().value();
        return table.read(WaveRow.key(wave.get()))
                .thenCompose(
                        row -> {
                            Transaction.Builder extra = Transaction.builder().require(fence);
                            row.ifPresent(
                                    found -> {
                                        WaveRow before = codec.decode(found.value());
                                        WaveRow after =
                                                failed
                                                        ? before.withFailed(
                                                                worker, threshold, revision)
                                                        : before.withDone(worker);
                                        extra.replace(found, codec.encode(after));
                                    });
                            return assignments.change(
                                    worker,
                                    AssignmentRule.step(worker, versioned, next),
                                    extra.build());
                        });
    }

    private CompletionStage<?> startWave(WaveId wave, Condition fence) {
        String text = codec.encode(WaveRow.started(wallMillis.getAsLong()));
        return table.commit(
                Transaction.builder().require(fence).insert(WaveRow.key(wave), text).build());
    }

    private CompletionStage<?> deleteRow(WaveId wave, Condition fence) {
        return table.read(WaveRow.key(wave))
                .thenCompose(
                        row ->
                                row.isEmpty()
                                        ? CompletableFuture.completedFuture(null)
                                        : table.commit(
                                                Transaction.builder()
                                                        .require(fence)
                                                        .delete(row.get())
                                                        .build()));
    }

    private static Transaction fenced(Condition fence) {
        return Transaction.builder().require(fence).build();
    }
}
