package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.RowCodec;

/** Codecs of all rows that the job package reads and writes. */
public record JobCodecs(
        RowCodec<JobRow> job,
        RowCodec<LimitRow> limit,
        RowCodec<LedgerEntry> ledger,
        RowCodec<WorkerFault> workerFault) {
    /** Rejects null components. */
    public JobCodecs {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(ledger, "ledger");
        Objects.requireNonNull(workerFault, "workerFault");
    }
}
