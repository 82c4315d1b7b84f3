package org.quetzalscale.ctl.apply;

import java.util.Objects;
import org.quetzalscale.ctl.client.Resource;

/**
 * A resource and what apply does with it.
 *
 * @param resource the resource to write, at the version that the write replaces
 * @param place where it is declared, or empty if it is deleted
 * @param diff the fields that change, one a line
 */
public record PlannedChange(Action action, Resource resource, String place, String diff) {
    /** Requires all parts. */
    public PlannedChange {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(resource, "resource");
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(diff, "diff");
    }
}
