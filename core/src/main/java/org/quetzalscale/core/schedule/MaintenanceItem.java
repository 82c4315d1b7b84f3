package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;

/** The maintenance of one instance for a wave. */
final class MaintenanceItem {
    enum State {
        /** Not begun. */
        PENDING,
        /** Its worker gets no new tasks and finishes the short ones. */
        DRAINING,
        /** The order was sent and not carried out yet, as far as is known. */
        ORDERED,
        /** The order was carried out; the instance is not back. */
        DOWN,
        /** The instance is back, or has left the fleet. */
        DONE
    }

    final InstanceId instance;
    State state = State.PENDING;

    /** The worker that ran on the instance when draining began; null if none did. */
    WorkerId worker;

    long sinceMillis;

    /** No order before this time. */
    long notBeforeMillis;

    boolean answerAwaited;

    MaintenanceItem(InstanceId instance) {
        this.instance = instance;
    }

    void enter(State next, long nowMillis) {
        state = next;
        sinceMillis = nowMillis;
    }

    boolean isDown() {
        return state == State.ORDERED || state == State.DOWN;
    }
}
