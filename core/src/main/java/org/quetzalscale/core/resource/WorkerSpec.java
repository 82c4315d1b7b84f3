package org.quetzalscale.core.resource;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.ZoneId;

/**
 * A worker.
 *
 * @param pool the pool that it should be in
 * @param address IP number and port of its target, such as {@code 10.0.0.7:8080}
 * @param slots requests that it runs at once
 * @param connections connections that its target accepts
 * @param memoryMib memory in MiB
 * @param drain whether it should take no new work
 */
public record WorkerSpec(
        PoolId pool,
        String address,
        ZoneId zone,
        RackId rack,
        int slots,
        int connections,
        int cores,
        int memoryMib,
        int accelerators,
        boolean drain)
        implements Spec {
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_COUNT = 100_000;
    private static final int MAX_MEMORY_MIB = 1 << 30;

    /** Checks forms and ranges; throws INVALID_FIELD. */
    public WorkerSpec {
        Fields.requirePresent("spec.pool", pool);
        Fields.requirePresent("spec.address", address);
        Fields.requirePresent("spec.zone", zone);
        Fields.requirePresent("spec.rack", rack);
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            throw Fields.invalid("spec.address", address, "expected an IP number and a port");
        }
        Fields.requireRange("spec.slots", slots, 1, MAX_COUNT);
        Fields.requireRange("spec.connections", connections, 1, MAX_COUNT);
        Fields.requireRange("spec.cores", cores, 1, MAX_COUNT);
        Fields.requireRange("spec.memoryMib", memoryMib, 1, MAX_MEMORY_MIB);
        Fields.requireRange("spec.accelerators", accelerators, 0, MAX_COUNT);
    }

    @Override
    public Kind kind() {
        return Kind.WORKERS;
    }
}
