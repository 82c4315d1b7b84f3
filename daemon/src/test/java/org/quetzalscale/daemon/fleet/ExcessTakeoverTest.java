package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.schedule.FleetOverview.RateView;
import org.quetzalscale.core.schedule.LoadFigures;
import org.quetzalscale.core.schedule.OrganisationPolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.net.json.Json;

/** An organisation that exceeds its rate while the owner changes. */
final class ExcessTakeoverTest extends OwnerFixture {
    private static final OrganisationId ORGANISATION = new OrganisationId("coop");
    private static final int JOBS = 20;
    private static final int ENDED = 4;
    private static final int WITHIN_RATE = 6;

    private final long acceptedMillis = System.currentTimeMillis();

    @Override
    Map<OrganisationId, OrganisationPolicy> organisations() {
        return Map.of(ORGANISATION, new OrganisationPolicy(ORGANISATION, 1, 1, Resources.NONE));
    }

    private JobDefinition numbered(int number) {
        return new JobDefinition(
                new JobId(String.format("%016x", number)),
                QUEUE,
                POOL,
                Optional.of(ORGANISATION),
                acceptedMillis,
                "spec",
                List.of(Steps.ending(1, 8, List.of())),
                Recurrence.NONE);
    }

    private RateView rates(Node node) {
        return onLoop(
                () ->
                        node.owner
                                .term()
                                .map(term -> term.overview().rates().get(ORGANISATION))
                                .orElse(new RateView(0, 0)));
    }

    /**
     * Guards against figures that no instance can read, and against numbers of waiting jobs that an
     * earlier release can no longer read beside them.
     */
    @Test
    void publishesTheLoadBesideTheNumbersOfWaitingJobs() {
        Node node = new Node("node-1");
        for (int number = 1; number <= JOBS; number++) {
            submit(numbered(number));
        }
        // As many jobs wait just before the last one is submitted, while none runs yet.
        await(
                "the last job beside a running one",
                () -> waitingRow().path("quick").asInt() == JOBS - 1 && completedPerSecond() > 0);

        LoadFigures load = LoadRow.read(waitingRow()).orElseThrow();
        assertThat(load.pools().get(POOL).excessCoreSeconds()).isPositive();
        assertThat(load.pools().get(POOL).freeCores()).isZero();
        assertThat(load.pools().get(POOL).completedPerSecond()).isEqualTo(8);
        assertThat(load.tokens()).containsKey(ORGANISATION);
        node.stop();
    }

    private double completedPerSecond() {
        return LoadRow.read(waitingRow())
                .map(load -> load.pools().get(POOL))
                .map(LoadFigures.PoolLoad::completedPerSecond)
                .orElse(0.0);
    }

    private JsonNode waitingRow() {
        String text =
                table.read(FleetRows.WAITING)
                        .toCompletableFuture()
                        .join()
                        .map(Row::value)
                        .orElse("{}");
        return Json.read(text, JsonNode.class);
    }

    /**
     * Guards against a new owner that forgets the ended jobs, and so finds more within the rate.
     */
    @Test
    void comesToTheSameMarksAfterATakeover() {
        Node first = new Node("node-1");
        for (int number = JOBS; number >= 1; number--) {
            submit(numbered(number));
        }
        for (int number = 1; number <= ENDED; number++) {
            int job = number;
            await("job " + number, () -> worker.starts.size() == job);
            worker.end(worker.starts.get(job - 1).task(), RunEnd.DONE);
        }
        await("ends recorded", () -> worker.acknowledged() == ENDED);
        RateView waiting = waitingJobs();
        await("marks of the first owner", () -> rates(first).equals(waiting));
        first.kill();

        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        await("marks of the second owner", () -> rates(second).equals(waiting));
        second.stop();
    }

    /**
     * The jobs that have not ended. Equal acceptance times are ordered by id, so the first ones are
     * within the rate. Which jobs have ended depends on which ones the owner knew when it started
     * them.
     */
    private RateView waitingJobs() {
        long endedWithin =
                List.copyOf(worker.starts).subList(0, ENDED).stream()
                        .map(start -> Integer.parseInt(start.task().job().value(), 16))
                        .filter(number -> number <= WITHIN_RATE)
                        .count();
        int within = (int) (WITHIN_RATE - endedWithin);
        return new RateView(within, JOBS - ENDED - within);
    }
}
