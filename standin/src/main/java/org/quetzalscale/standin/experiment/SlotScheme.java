package org.quetzalscale.standin.experiment;

/** A way to share the slots of a pool's workers among the entry instances. */
interface SlotScheme {
    /** A request arrived at an instance. */
    void arrive(int instance, ModelRequest request);

    /** An instance died with all that waits at it. */
    void die(int instance);
}
