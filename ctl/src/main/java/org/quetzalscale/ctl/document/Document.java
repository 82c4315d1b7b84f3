package org.quetzalscale.ctl.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import org.quetzalscale.core.resource.Kind;

/**
 * A declaration in a file.
 *
 * @param file name of the file
 * @param number position of the document in the file, from 1
 * @param spec the declaration as written, without defaults
 */
public record Document(String file, int number, Kind kind, String name, JsonNode spec) {
    /** Requires all parts. */
    public Document {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(spec, "spec");
    }

    /** Kind and name, such as {@code teams/field-advice}. */
    public String title() {
        return kind.path() + "/" + name;
    }

    /** File, document number and title, for messages. */
    public String place() {
        return place(file, number) + " (" + title() + ")";
    }

    static String place(String file, int number) {
        return file + ", document " + number;
    }
}
