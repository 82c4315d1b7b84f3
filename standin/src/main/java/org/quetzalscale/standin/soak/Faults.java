package org.quetzalscale.standin.soak;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** The faults that last at present. Thread-safe. */
final class Faults {
    private final List<Fault> present = new CopyOnWriteArrayList<>();
    private final Random random;

    Faults(long seed) {
        this.random = new Random(seed);
    }

    void begin(Fault fault) {
        present.add(fault);
    }

    void end(Fault fault) {
        present.remove(fault);
    }

    /** The fault that concerns this call; the one that began first, if there are several. */
    Optional<Fault> drawFor(String place, String caller) {
        return present.stream()
                .filter(fault -> fault.concerns(place, caller))
                .filter(fault -> random.nextDouble() < fault.share())
                .findFirst();
    }

    /** Whether nothing passes between the place and the caller. */
    boolean isCut(String place, String caller) {
        return present.stream()
                .filter(fault -> fault.concerns(place, caller))
                .anyMatch(
                        fault ->
                                fault.mode() == FaultMode.SILENT
                                        || fault.mode() == FaultMode.RESET);
    }

    /** Whether no call of the caller is carried out at the place. */
    boolean isUnavailable(String place, String caller) {
        return isCut(place, caller)
                || present.stream()
                        .filter(fault -> fault.concerns(place, caller))
                        .anyMatch(fault -> fault.mode() == FaultMode.REFUSED);
    }

    /** A delay of up to the fault's longest one, at least a sixth of it. */
    int drawDelayMillis(Fault fault) {
        int least = fault.delayMillis() / 6;
        return least + random.nextInt(Math.max(1, fault.delayMillis() - least));
    }
}
