package org.quetzalscale.standin.soak;

/**
 * A fault of a service that lasts.
 *
 * @param place the store, the list of instances, the machine of a worker, or a node whose siblings
 *     call it
 * @param node the only node whose calls it concerns; empty for all
 * @param share the part of the calls that it concerns, from 0 to 1
 * @param delayMillis the longest delay of a call, for the modes that have one
 */
record Fault(FaultMode mode, String place, String node, double share, int delayMillis) {
    /** The metadata store as a place. */
    static final String STORE = "store";

    /** The list of instances as a place. */
    static final String LIST = "list";

    boolean concerns(String calledPlace, String caller) {
        return place.equals(calledPlace) && (node.isEmpty() || node.equals(caller));
    }
}
