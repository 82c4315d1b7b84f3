package org.quetzalscale.daemon.config;

import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.id.Revision;

/** Sends configuration messages to the other instances. Calls do not block. */
public interface SiblingLinks {
    /** Links of a single instance without siblings. */
    SiblingLinks NONE =
            new SiblingLinks() {
                @Override
                public void distribute(ChangeRecord record) {
                    // There is no instance to send it to.
                }

                @Override
                public void fetch(Revision after) {
                    // There is no instance to ask.
                }
            };

    /** Sends an accepted change to all instances. */
    void distribute(ChangeRecord record);

    /** Asks instances that know a higher revision for the changes after a revision. */
    void fetch(Revision after);
}
