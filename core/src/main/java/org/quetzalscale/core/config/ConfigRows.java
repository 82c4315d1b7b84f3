package org.quetzalscale.core.config;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;

/** Keys of the rows that hold the configuration, and the format of the revision row. */
public final class ConfigRows {
    /** The row that counts accepted changes. */
    public static final RowKey REVISION = new RowKey("config/revision");

    /** Prefix of all resource rows. */
    public static final String RESOURCES = "resource/";

    private ConfigRows() {}

    /** The row of a resource. */
    public static RowKey resource(Kind kind, String name) {
        return RowKey.of("resource", kind.path(), name);
    }

    /** The row of a change. */
    public static RowKey change(Revision revision) {
        return RowKey.of("change", revision.toString());
    }

    /** The row of a team's upper limit. */
    public static RowKey limit(String team) {
        return RowKey.of("limit", team);
    }

    /** Reads the revision row. */
    static Revision decodeRevision(Row row) {
        try {
            return new Revision(Long.parseLong(row.value()));
        } catch (NumberFormatException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INTERNAL, "row " + row.key() + " holds \"" + row.value() + "\"", e);
        }
    }
}
