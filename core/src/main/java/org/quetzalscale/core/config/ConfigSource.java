package org.quetzalscale.core.config;

/** The configuration of this instance, as its decisions use it. */
public interface ConfigSource {
    /** The latest snapshot that this instance has. */
    ConfigSnapshot snapshot();

    /** Whether the snapshot may be used for new work now. */
    boolean isValid();
}
