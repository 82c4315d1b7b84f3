package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.quetzalscale.core.id.ZoneId;

/**
 * Evacuates and restores zones in virtual time, and checks that no task is started in an evacuated
 * one, once the owner had the time to learn of it. That time begins anew while the store does not
 * serve all instances.
 */
final class SimulatedEvacuations {
    private static final int ZONES = 3;
    private static final long LAST_EVACUATION_MILLIS = 22_000;

    /** Time from the acknowledgement of an evacuation after which no task may be started. */
    private static final long EVACUATE_MILLIS = 5_000;

    private final VirtualLoop loop;
    private final SimulatedStore store;
    private final Random random;
    private final Consumer<String> log;
    private Optional<ZoneId> evacuated = Optional.empty();
    private long evacuatedMillis;
    private long storeDisturbedUntilMillis;

    SimulatedEvacuations(
            VirtualLoop loop, SimulatedStore store, Random random, Consumer<String> log) {
        this.loop = loop;
        this.store = store;
        this.random = random;
        this.log = log;
    }

    /** The zone of a worker, by the number in its name. */
    static ZoneId zoneOf(String worker) {
        return new ZoneId("zone-" + Integer.parseInt(worker.split("-")[1]) % ZONES);
    }

    /** Evacuates zones from now on, one at a time; the last one is not restored. */
    void begin(RunHistory history) {
        history.setForbiddenStart((task, worker) -> forbidsStartOn(worker));
        loop.after(2_000 + random.nextInt(3_000), this::evacuateForATime);
        loop.after(LAST_EVACUATION_MILLIS, this::evacuate);
    }

    /** Tells that the store does not serve all instances for a time. */
    void disturbStore(long millis) {
        storeDisturbedUntilMillis = Math.max(storeDisturbedUntilMillis, loop.nowMillis() + millis);
    }

    boolean isEvacuated(String worker) {
        return evacuated.equals(Optional.of(zoneOf(worker)));
    }

    private boolean forbidsStartOn(String worker) {
        long since = Math.max(evacuatedMillis, storeDisturbedUntilMillis);
        return isEvacuated(worker) && loop.nowMillis() > since + EVACUATE_MILLIS;
    }

    private void evacuateForATime() {
        long millis = 3_000 + random.nextInt(9_000);
        if (loop.nowMillis() + millis < LAST_EVACUATION_MILLIS) {
            ZoneId zone = evacuate();
            loop.after(millis, () -> restore(zone));
        }
    }

    private ZoneId evacuate() {
        ZoneId zone = new ZoneId("zone-" + random.nextInt(ZONES));
        log.accept(loop.nowMillis() + ": " + zone + " is evacuated");
        store.put("op//evacuate/" + zone, "{}");
        evacuated = Optional.of(zone);
        evacuatedMillis = loop.nowMillis();
        return zone;
    }

    private void restore(ZoneId zone) {
        log.accept(loop.nowMillis() + ": " + zone + " is restored");
        store.delete("op//evacuate/" + zone);
        evacuated = Optional.empty();
        loop.after(random.nextInt(2_000), this::evacuateForATime);
    }
}
