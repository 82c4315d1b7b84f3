package org.quetzalscale.daemon.target;

/** Is notified when a target answers with {@code Connection: close}. */
@FunctionalInterface
public interface ClosingListener {
    /** The target at this address will close the connection after its answer. */
    void closing(String address);
}
