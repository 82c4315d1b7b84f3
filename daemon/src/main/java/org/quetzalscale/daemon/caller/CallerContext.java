package org.quetzalscale.daemon.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.queue.AdmissionController;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.target.TargetClient;

/**
 * Dependencies and state that all requests of one server share.
 *
 * @param teamHandler serves the calls under {@code /v1/}; null if they are not served
 * @param running requests that still run or whose outcome is still being recorded
 * @param draining whether answers carry {@code Connection: close} because of a drain
 */
record CallerContext(
        ConfigSource config,
        AdmissionController admission,
        IntentLog intents,
        TimeSource time,
        TargetClient targets,
        CallerLimits limits,
        RequestObserver observer,
        TeamHandler teamHandler,
        BufferBudget budget,
        AtomicInteger running,
        BooleanSupplier draining) {}
