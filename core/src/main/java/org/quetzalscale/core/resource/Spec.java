package org.quetzalscale.core.resource;

/** What a resource declares. */
public sealed interface Spec
        permits TeamSpec,
                KeySpec,
                PoolSpec,
                WorkerSpec,
                QueueSpec,
                WaveSpec,
                DeploymentSpec,
                AssignmentSpec {
    /** The kind of resource that has such a spec. */
    Kind kind();
}
