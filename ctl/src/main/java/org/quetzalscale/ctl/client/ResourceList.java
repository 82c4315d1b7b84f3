package org.quetzalscale.ctl.client;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All resources of one kind.
 *
 * @param revision the revision as of which they were listed
 */
public record ResourceList(long revision, List<Resource> items) {
    /** Copies the items. */
    public ResourceList {
        items = List.copyOf(items);
    }

    /** The resources by name, in name order. */
    public Map<String, Resource> byName() {
        Map<String, Resource> named = new TreeMap<>();
        items.forEach(resource -> named.put(resource.name(), resource));
        return named;
    }
}
