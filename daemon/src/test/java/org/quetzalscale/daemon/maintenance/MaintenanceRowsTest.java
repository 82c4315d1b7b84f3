package org.quetzalscale.daemon.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.BudgetRow;
import org.quetzalscale.core.maintenance.DrainReason;
import org.quetzalscale.core.maintenance.WaveRow;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.net.json.Json;

class MaintenanceRowsTest {
    // Guards against rows that the next lease holder can't decode.
    @Test
    void readsRowsAsWritten() {
        RowCodec<BudgetRow> budgets = Json.codec(BudgetRow.class);
        BudgetRow budget =
                BudgetRow.EMPTY.with(
                        new WorkerId("w-1"), DrainReason.wave(new WaveId("monthly")).text());
        assertThat(budgets.decode(budgets.encode(budget))).isEqualTo(budget);
        assertThat(budgets.decode(budgets.encode(BudgetRow.EMPTY))).isEqualTo(BudgetRow.EMPTY);

        RowCodec<WaveRow> waves = Json.codec(WaveRow.class);
        WaveRow wave = new WaveRow(Set.of("w-1"), Set.of("w-2", "w-3"), 17, 1_700_000_000_000L);
        assertThat(waves.decode(waves.encode(wave))).isEqualTo(wave);
    }
}
