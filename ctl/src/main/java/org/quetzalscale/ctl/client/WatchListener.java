package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;

/** Hears of the changes of one kind. */
public interface WatchListener {
    /**
     * A change, as the server's line tells it, with the fields type, revision, kind, name and, for
     * a put, resource. A listing gives lines of type present.
     *
     * @return whether the watch goes on
     */
    boolean changed(JsonNode line);

    /** A note for the operator, such as a lost connection. */
    void note(String text);
}
