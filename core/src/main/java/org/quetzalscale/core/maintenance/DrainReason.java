package org.quetzalscale.core.maintenance;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WaveId;

/**
 * Why a worker is out of service, as stored in the assignment's {@code reason}. The next holder of
 * a lease resumes from this text alone.
 *
 * @param text {@code declared}, {@code wave/<name>} or {@code move/<pool>}
 */
public record DrainReason(String text) {
    /** An operator declared the drain. */
    public static final DrainReason DECLARED = new DrainReason("declared");

    private static final String WAVE = "wave/";
    private static final String MOVE = "move/";

    /** Requires the text. */
    public DrainReason {
        Objects.requireNonNull(text, "text");
    }

    /** Returns the reason of a drain by a maintenance wave. */
    public static DrainReason wave(WaveId wave) {
        return new DrainReason(WAVE + wave.value());
    }

    /** Returns the reason of a drain for a move to another pool. */
    public static DrainReason move(PoolId target) {
        return new DrainReason(MOVE + target.value());
    }

    /** Returns the wave, if a wave drains the worker. */
    public Optional<WaveId> wave() {
        return text.startsWith(WAVE)
                ? Optional.of(new WaveId(text.substring(WAVE.length())))
                : Optional.empty();
    }

    /** Returns the target pool, if the drain is for a move. */
    public Optional<PoolId> moveTarget() {
        return text.startsWith(MOVE)
                ? Optional.of(new PoolId(text.substring(MOVE.length())))
                : Optional.empty();
    }
}
