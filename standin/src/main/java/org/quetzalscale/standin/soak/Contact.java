package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;

/** When nodes and the store were disturbed. Thread-safe. */
final class Contact {
    /** Name under which disturbances of the store for all nodes are noted. */
    static final String STORE = "store";

    /** How long a node has to be undisturbed before rules with a time bound hold for it. */
    private static final double CONTACT_SECONDS = 3;

    private record Disturbance(String name, double from, double to) {}

    private final List<Disturbance> disturbances = new ArrayList<>();

    synchronized void disturbed(String name, double from, double to) {
        disturbances.add(new Disturbance(name, from, to));
    }

    /** Whether neither the node nor the store was disturbed in the last seconds before. */
    synchronized boolean isInTouch(String node, double at) {
        return disturbances.stream()
                .filter(d -> d.name().equals(node) || d.name().equals(STORE))
                .noneMatch(d -> d.from() <= at && d.to() >= at - CONTACT_SECONDS);
    }
}
