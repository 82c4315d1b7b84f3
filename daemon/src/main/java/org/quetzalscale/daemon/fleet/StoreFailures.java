package org.quetzalscale.daemon.fleet;

import java.util.Optional;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.RowKey;
import org.tinylog.Logger;

/** Common handling of lost history and of rows that cannot be decoded. */
final class StoreFailures {
    private StoreFailures() {}

    /** Whether a reader of a change feed has to read all rows again. */
    static boolean isHistoryLost(Throwable failure) {
        return QuetzalscaleException.from(failure).kind() == ErrorKind.REVISION_TOO_OLD;
    }

    /** The error for a call that may have been carried out by one of its attempts. */
    static QuetzalscaleException asOutcomeUnknown(QuetzalscaleException error) {
        return error.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN
                ? error
                : new QuetzalscaleException(
                        ErrorKind.STORE_OUTCOME_UNKNOWN, error.getMessage(), error);
    }

    /**
     * The decoded value of a row; empty, with a log line, if the row is invalid, such as one of
     * another writer.
     */
    static <T> Optional<T> decodeOrLog(RowKey key, Supplier<T> decode) {
        try {
            return Optional.of(decode.get());
        } catch (RuntimeException e) {
            Logger.error("event=row_ignored key={} cause=\"{}\"", key, e.toString());
            return Optional.empty();
        }
    }

    /**
     * Applies one row. An exception costs this row and is logged; the reader goes on with the next
     * one.
     */
    static void applyOrLog(RowKey key, Runnable apply) {
        try {
            apply.run();
        } catch (RuntimeException e) {
            Logger.error(e, "event=row_ignored key={}", key);
        }
    }
}
