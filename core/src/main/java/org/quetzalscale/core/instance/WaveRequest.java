package org.quetzalscale.core.instance;

import java.util.List;
import org.quetzalscale.core.id.InstanceId;

/**
 * Operators ask for maintenance of instances.
 *
 * @param number names the wave
 * @param durationMillis time for all of them, from the request on
 * @param maxDown most instances of the wave that may be in maintenance at the same time
 */
public record WaveRequest(
        long number, List<InstanceId> instances, long durationMillis, int maxDown) {
    /** Copies the list. */
    public WaveRequest {
        instances = List.copyOf(instances);
    }
}
