package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.RowKey;
import org.tinylog.Logger;

/** What the services do alike when the store or its rows are not as they should be. */
final class StoreFailures {
    private StoreFailures() {}

    /** Whether a feed has to begin anew with all rows. */
    static boolean isHistoryLost(Throwable failure) {
        return QuetzalscaleException.from(failure).kind() == ErrorKind.REVISION_TOO_OLD;
    }

    /** The value of a row; empty, with a log line, for a row of another writer. */
    static <T> Optional<T> decoded(RowKey key, Supplier<T> decode) {
        try {
            return Optional.of(decode.get());
        } catch (QuetzalscaleException e) {
            Logger.error("event=row_ignored key={} cause=\"{}\"", key, e.getMessage());
            return Optional.empty();
        }
    }
}
