package org.quetzalscale.core.maintenance;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;

/** Reports the progress of waves to operators. */
public final class WaveStatus {
    private WaveStatus() {}

    /**
     * Returns the entries of one wave: {@code state}, {@code done}, {@code failed}, {@code
     * inProgress}, {@code total} in workers, {@code reason} if it is stopped, and {@code
     * expectedEndMillis} if it has maintained workers already and has others remaining.
     *
     * @param wallMillis wall-clock time in milliseconds since 1970
     * @return the entries; empty if there is no such wave
     */
    public static Map<String, Object> of(FleetState state, WaveId wave, long wallMillis) {
        Versioned declared = state.snapshot().all(Kind.WAVES).get(wave.value());
        if (declared == null) {
            return Map.of();
        }
        WaveSpec spec = (WaveSpec) declared.spec();
        WaveRow row = state.waves().getOrDefault(wave, WaveRow.started(wallMillis));
        int remaining = WavePlanner.remaining(state, wave, spec).size();
        int maintained = row.done().size() + row.failed().size();
        Map<String, Object> entries = new LinkedHashMap<>();
        String reason = reason(spec, row, declared.revision().value());
        boolean isFinished = remaining == 0 && !spec.aborted();
        entries.put("state", isFinished ? "finished" : reason.isEmpty() ? "running" : "stopped");
        entries.put("done", row.done().size());
        entries.put("failed", new TreeSet<>(row.failed()));
        entries.put("inProgress", inProgress(state, wave));
        entries.put("total", maintained + remaining);
        if (!reason.isEmpty()) {
            entries.put("reason", reason);
        } else if (maintained > 0 && remaining > 0) {
            long perWorker = Math.max(0, wallMillis - row.startedMillis()) / maintained;
            entries.put("expectedEndMillis", wallMillis + perWorker * remaining);
        }
        return entries;
    }

    private static String reason(WaveSpec spec, WaveRow row, long revision) {
        if (spec.aborted()) {
            return "aborted";
        }
        if (row.stoppedAt() == revision) {
            return String.format(
                    "%d of %d maintained workers failed, above the failureThreshold of %s",
                    row.failed().size(),
                    row.done().size() + row.failed().size(),
                    spec.failureThreshold());
        }
        return spec.paused() ? "paused" : "";
    }

    private static long inProgress(FleetState state, WaveId wave) {
        String reason = DrainReason.wave(wave).text();
        return state.snapshot().all(Kind.ASSIGNMENTS).values().stream()
                .map(versioned -> (AssignmentSpec) versioned.spec())
                .filter(assignment -> assignment.reason().equals(reason))
                .filter(assignment -> assignment.phase() != WorkerPhase.FAILED)
                .count();
    }
}
