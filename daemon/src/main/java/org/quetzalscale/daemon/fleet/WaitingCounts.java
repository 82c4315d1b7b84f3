package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.quetzalscale.core.schedule.FleetMemory;
import org.quetzalscale.core.schedule.FleetOverview;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.schedule.LoadObserver;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;

/**
 * Publishes the number of waiting jobs of each queue, and figures of the load, to all instances.
 */
final class WaitingCounts {
    private static final long INTERVAL_MILLIS = 800;

    private final FleetContext context;
    private final LoopClock clock;
    private final WorkerSession.Term term;
    private final FleetOverview overview;
    private final FleetScheduler scheduler;
    private final LoadObserver load;
    private final OwnedRow row;
    private String published = "";

    WaitingCounts(
            FleetContext context,
            Condition fence,
            WorkerSession.Term term,
            FleetOverview overview) {
        this.context = context;
        this.clock = context.clock();
        this.term = term;
        this.overview = overview;
        this.scheduler = term.scheduler();
        this.load = new LoadObserver(scheduler);
        this.row = new OwnedRow(context.table(), fence, FleetRows.WAITING);
    }

    /** Publishes changed counts at intervals until the term ends. */
    void start() {
        if (term.ended()) {
            return;
        }
        context.metrics().rates(overview.rates());
        String text = encode();
        if (!text.equals(published)) {
            published = text;
            row.write(() -> List.of(Mutation.put(FleetRows.WAITING, encode())))
                    .whenComplete((isOwner, failure) -> written(isOwner, failure));
        }
        clock.after(INTERVAL_MILLIS, this::start);
    }

    private void written(Boolean isOwner, Throwable failure) {
        if (failure != null) {
            published = "";
        } else if (!isOwner) {
            term.fenced("store");
        }
    }

    /** The figures are left out of a row that would exceed its size: the counts are needed more. */
    private String encode() {
        ObjectNode counts = JsonNodeFactory.instance.objectNode();
        scheduler.waitingJobs().forEach((queue, count) -> counts.put(queue.value(), count));
        LoadRow.writeJobMib(FleetMemory.toMib(scheduler.jobBytes()), counts);
        String withoutFigures = counts.toString();
        load.observe(clock.nowMillis(), clock.epochMillis().getAsLong())
                .ifPresent(figures -> LoadRow.write(figures, counts));
        String text = counts.toString();
        return context.table().limits().fitsRow(text) ? text : withoutFigures;
    }
}
