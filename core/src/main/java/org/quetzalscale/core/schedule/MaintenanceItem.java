package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;

/** The state of one instance in a maintenance wave. */
final class MaintenanceItem {
    enum State {
        /** Not started. */
        PENDING,
        /** The worker gets no new tasks and finishes those that are not lasting. */
        DRAINING,
        /** The order was sent; no answer has confirmed it. */
        ORDERED,
        /** The order was carried out; the instance is not up again. */
        DOWN,
        /** The instance is up again, has left the fleet, or cannot be maintained. */
        DONE
    }

    final InstanceId instance;
    State state = State.PENDING;

    /** The worker that ran on the instance when draining started, or null. */
    WorkerId worker;

    long stateSinceMillis;

    /** No order is sent before this time. */
    long retryAtMillis;

    boolean awaitingAnswer;

    MaintenanceItem(InstanceId instance) {
        this.instance = instance;
    }

    void transitionTo(State next, long nowMillis) {
        state = next;
        stateSinceMillis = nowMillis;
    }

    boolean isDown() {
        return state == State.ORDERED || state == State.DOWN;
    }
}
