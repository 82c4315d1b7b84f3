package org.quetzalscale.standin.soak;

import java.util.Locale;

/**
 * Something that happens to a deployment. What does not concern its kind is drawn all the same, and
 * not used.
 *
 * @param atMillis when it begins, since the begin of the troubles
 * @param durationMillis how long it lasts
 * @param atOwner whether it concerns the node that owns the fleet then
 * @param node number of the node that it concerns otherwise
 * @param machine number of the machine that it concerns
 * @param mode how the calls that it concerns are treated
 * @param share the part of the calls that it concerns, from 0 to 1
 * @param choice one of the variants of its kind
 */
record Trouble(
        Kind kind,
        int atMillis,
        int durationMillis,
        boolean atOwner,
        int node,
        int machine,
        FaultMode mode,
        double share,
        boolean choice) {
    /** The kinds of trouble. */
    enum Kind {
        /** A node gets SIGTERM and starts again. */
        NODE_TERMINATED,
        /** A node gets SIGKILL and starts again. */
        NODE_KILLED,
        /** A node is paused. */
        NODE_PAUSED,
        /** A node gets no answers from the store. */
        NODE_CUT_FROM_STORE,
        /** A node gets no answers from the store, and all others are paused. */
        NODE_ISOLATED,
        /** The store serves nobody, or serves slowly. */
        STORE_DOWN,
        /** Writes of the store are lost or carried out late, without an answer. */
        STORE_CHANGES_UNANSWERED,
        /** A worker does not reach the store. */
        WORKER_CUT_FROM_STORE,
        /** Some nodes do not reach a worker. */
        WORKER_CUT_FROM_NODES,
        /** Answers of a worker are lost. */
        WORKER_ANSWERS_LOST,
        /** A worker carries calls out late. */
        WORKER_LATE,
        /** A worker starts again under its id. */
        WORKER_RESTARTED,
        /** Another worker starts at the address of one that has ended. */
        WORKER_REPLACED,
        /** A worker answers nothing while its tasks run on. */
        WORKER_HANGS,
        /** A machine moves, and another worker joins in its place. */
        MACHINE_MOVED,
        /** A worker ends for good. */
        WORKER_DEAD,
        /** The list of instances is stale or not answered. */
        LIST_WRONG,
        /** A node and some workers are cut from all else. */
        PARTITION,
        /** The list of instances is true, but some time old or answered late. */
        LIST_LATE,
        /** A machine is off, and listed as down, until its worker starts under its former id. */
        MACHINE_OFF,
        /** A worker refuses connections or answers nothing, while its tasks run on. */
        WORKER_REFUSES,
        /** The list shows a machine as down or moving while its worker runs. */
        MACHINE_LISTED_WRONG,
        /** A worker carries starts out only in its next incarnation. */
        STARTS_HELD
    }

    int endMillis() {
        return atMillis + durationMillis;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s for %d ms %s machine %d %s %.2f %s",
                kind,
                durationMillis,
                atOwner ? "owner" : "node " + node,
                machine,
                mode,
                share,
                choice);
    }
}
