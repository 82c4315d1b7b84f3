package org.quetzalscale.standin.target;

import java.util.concurrent.atomic.AtomicInteger;

/** Slots, behavior and log that all connections of one target share. */
final class TargetState {
    private final String name;
    private final int slots;
    private final AtomicInteger running = new AtomicInteger();
    private final ExecutionLog log = new ExecutionLog();
    private volatile TargetBehavior behavior = TargetBehavior.NORMAL;

    TargetState(String name, int slots) {
        this.name = name;
        this.slots = slots;
    }

    String name() {
        return name;
    }

    ExecutionLog log() {
        return log;
    }

    TargetBehavior behavior() {
        return behavior;
    }

    void behave(TargetBehavior replacement) {
        behavior = replacement;
    }

    int running() {
        return running.get();
    }

    /** Takes a slot unless all are taken or the target is in shutdown. */
    boolean takeSlot() {
        if (behavior.shuttingDown()) {
            return false;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            return false;
        }
        return true;
    }

    void freeSlot() {
        running.decrementAndGet();
    }
}
