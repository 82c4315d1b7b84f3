package org.quetzalscale.daemon.config;

import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.id.Revision;

/** What the configuration sends to other instances. Calls do not block. */
public interface SiblingLinks {
    /** No other instance. */
    SiblingLinks NONE =
            new SiblingLinks() {
                @Override
                public void distribute(ChangeRecord record) {
                    // There is nobody to send it to.
                }

                @Override
                public void fetch(Revision after) {
                    // There is nobody to ask.
                }
            };

    /** Sends an accepted change to all instances. */
    void distribute(ChangeRecord record);

    /** Asks instances that have seen more for the changes after a revision. */
    void fetch(Revision after);
}
