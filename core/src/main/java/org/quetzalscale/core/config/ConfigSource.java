package org.quetzalscale.core.config;

/** The configuration that this instance uses for its decisions. */
public interface ConfigSource {
    /** Returns the latest snapshot of this instance. */
    ConfigSnapshot snapshot();

    /** Returns whether the snapshot may be used for new work now. */
    boolean isValid();
}
