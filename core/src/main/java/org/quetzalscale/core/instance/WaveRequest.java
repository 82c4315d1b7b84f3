package org.quetzalscale.core.instance;

import java.util.List;
import org.quetzalscale.core.id.InstanceId;

/**
 * An operator's request to maintain a set of instances.
 *
 * @param number number that identifies the wave
 * @param durationMillis time within which all instances have to be maintained, counted from the
 *     request
 * @param maxDown maximum number of the wave's instances in maintenance at the same time
 */
public record WaveRequest(
        long number, List<InstanceId> instances, long durationMillis, int maxDown) {
    /** Copies the instances. */
    public WaveRequest {
        instances = List.copyOf(instances);
    }
}
