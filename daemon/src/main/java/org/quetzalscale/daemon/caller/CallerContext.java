package org.quetzalscale.daemon.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.queue.AdmissionController;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.target.TargetClient;

/**
 * What the requests of one server share.
 *
 * @param teamHandler answers the calls under {@code /v1/}; null if there are none
 * @param running requests whose work or whose record has not ended
 * @param draining whether answers announce the end of their connection
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
