package org.quetzalscale.daemon.operator;

import java.util.Map;
import java.util.Objects;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.quetzalscale.core.resource.Kind;

/**
 * Contributions of other parts of the daemon to the operator interface.
 *
 * @param ready whether the instance takes callers' requests, apart from its configuration
 * @param metrics text of {@code /metrics} in the Prometheus format
 * @param status entries of {@code /v1/status}, apart from those of the configuration
 * @param resourceStatus entries of a resource's status, by its kind and name
 */
public record OperatorHooks(
        BooleanSupplier ready,
        Supplier<String> metrics,
        Supplier<Map<String, Object>> status,
        BiFunction<Kind, String, Map<String, Object>> resourceStatus) {
    /** Hooks without contributions. */
    public static final OperatorHooks NONE =
            new OperatorHooks(() -> true, () -> "", Map::of, (kind, name) -> Map.of());

    /** Requires all parts. */
    public OperatorHooks {
        Objects.requireNonNull(ready, "ready");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(resourceStatus, "resourceStatus");
    }
}
