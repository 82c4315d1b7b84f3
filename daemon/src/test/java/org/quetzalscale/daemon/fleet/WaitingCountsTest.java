package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.schedule.OrganisationPolicy;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.TableLimits;

/** The numbers of waiting jobs, and the figures of the load beside them. */
final class WaitingCountsTest extends OwnerFixture {
    private static final OrganisationId ORGANISATION = new OrganisationId("coop");
    private static final int SMALL_ROW_BYTES = 20;

    @Override
    Map<OrganisationId, OrganisationPolicy> organisations() {
        return Map.of(ORGANISATION, new OrganisationPolicy(ORGANISATION, 1, 1, Resources.NONE));
    }

    private Optional<String> row() {
        return table.read(FleetRows.WAITING).toCompletableFuture().join().map(Row::value);
    }

    /** Guards against numbers that are never published because figures exceed the row. */
    @Test
    void publishesTheNumbersWithoutFiguresThatDoNotFit() {
        submit(job(JOB, List.of(Steps.ending(1, 100, List.of()))));
        Node first = new Node("node-1");
        await("figures", () -> row().filter(text -> text.contains("_load")).isPresent());
        first.stop();

        table.limits = new TableLimits(SMALL_ROW_BYTES);
        Node second = new Node("node-2");
        await("numbers alone", () -> row().equals(ONE_WAITING));
        assertThat(table.limits().fitsRow(row().orElseThrow())).isTrue();
        second.stop();
    }
}
