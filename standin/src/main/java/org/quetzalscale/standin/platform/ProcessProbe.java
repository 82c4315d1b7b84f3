package org.quetzalscale.standin.platform;

import java.time.Instant;
import java.util.Optional;

/** Tells whether an operating system process exists. */
@FunctionalInterface
public interface ProcessProbe {
    /**
     * Identity of the process that has the id now, or empty if there is none. It differs between
     * two processes that used the same id one after the other. A paused process exists.
     */
    Optional<String> identityOf(long processId);

    /** Asks the operating system. */
    static ProcessProbe system() {
        return processId ->
                ProcessHandle.of(processId)
                        .filter(ProcessHandle::isAlive)
                        .map(
                                process ->
                                        process.info()
                                                .startInstant()
                                                .map(Instant::toString)
                                                .orElse("alive"));
    }
}
