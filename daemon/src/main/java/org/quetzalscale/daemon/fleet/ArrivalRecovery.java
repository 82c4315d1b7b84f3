package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.task.JobDefinition;

/**
 * Reads the ended jobs of earlier owners for the forecast of arrivals. They are not needed to
 * schedule, so that a weak instance decodes them in small portions after the term has begun.
 */
final class ArrivalRecovery {
    private static final int ROWS_PER_TURN = 20;
    private static final long TURN_INTERVAL_MILLIS = 50;

    private final LoopClock clock;
    private final WorkerSession.Term term;
    private final Consumer<JobDefinition> recorder;
    private final Deque<Row> rows = new ArrayDeque<>();

    ArrivalRecovery(LoopClock clock, WorkerSession.Term term, Consumer<JobDefinition> recorder) {
        this.clock = clock;
        this.term = term;
        this.recorder = recorder;
    }

    /** Adds the row of an ended job. */
    void add(Row row) {
        rows.add(row);
    }

    /** Decodes the rows that were added. */
    void start() {
        for (int turn = 0; turn < ROWS_PER_TURN && !rows.isEmpty(); turn++) {
            Row row = rows.poll();
            StoreFailures.decodeOrLog(row.key(), () -> JobRowCodecs.DEFINITION.decode(row.value()))
                    .ifPresent(recorder);
        }
        if (!rows.isEmpty() && !term.ended()) {
            clock.after(TURN_INTERVAL_MILLIS, this::start);
        }
    }
}
