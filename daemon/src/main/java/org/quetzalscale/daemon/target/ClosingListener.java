package org.quetzalscale.daemon.target;

/** Learns that a target announces its end with {@code Connection: close}. */
@FunctionalInterface
public interface ClosingListener {
    /** The target at this address closes the connection after its answer. */
    void closing(String address);
}
