package org.quetzalscale.daemon.config;

import java.util.List;
import java.util.SortedSet;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;

/**
 * The result of an accepted write.
 *
 * @param changes the accepted changes in order
 * @param pending instances in which they may not be in force yet; empty if they are in force
 *     everywhere
 */
public record WriteResult(List<Change> changes, SortedSet<InstanceId> pending) {
    /** Copies the changes. */
    public WriteResult {
        changes = List.copyOf(changes);
    }

    /** Returns the revision of the last change. */
    public Revision revision() {
        return changes.get(changes.size() - 1).revision();
    }

    /** Returns whether the changes are in force everywhere. */
    public boolean inForce() {
        return pending.isEmpty();
    }
}
