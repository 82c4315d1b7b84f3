package org.quetzalscale.daemon.relay;

import java.util.List;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/** Frames with which instances relay store calls. A reply carries the id of its call. */
sealed interface RelayFrame {
    /** Identifies a call among the calls of one connection. */
    long callId();

    /** Call that reads one row. */
    record Read(long callId, RowKey key) implements RelayFrame {}

    /** Call that reads all rows whose keys start with the prefix. */
    record Scan(long callId, String prefix) implements RelayFrame {}

    /** Call that reads the changes of a table after a version. */
    record Feed(long callId, String table, long version, int waitMillis) implements RelayFrame {}

    /** Call that commits a transaction. */
    record Commit(long callId, Transaction transaction) implements RelayFrame {}

    /** Call for what the sibling knows of the fleet's lease. */
    record ViewLease(long callId) implements RelayFrame {}

    /** Reply with what the sibling knows of the fleet's lease. */
    record LeaseViewed(long callId, LeaseView view) implements RelayFrame {}

    /**
     * Reply with rows that were read, or that changed; a reply may need several frames.
     *
     * @param version the table version of the whole reply
     * @param last whether this is the last frame of the reply
     */
    record Rows(long callId, List<ChangedRow> rows, long version, boolean last)
            implements RelayFrame {
        /** Copies the list. */
        public Rows {
            rows = List.copyOf(rows);
        }
    }

    /** Reply with the result of a transaction. */
    record Committed(long callId, CommitResult result) implements RelayFrame {}

    /** Reply that the call failed; the kind tells whether a transaction may have been committed. */
    record Failed(long callId, ErrorKind kind, String message) implements RelayFrame {}
}
