package org.quetzalscale.core.fleet;

import java.util.Objects;
import org.quetzalscale.core.id.ZoneId;

/**
 * A machine on the platform's list: an entry instance or a worker.
 *
 * @param name the instance's or worker's name
 * @param role whether it is an entry instance or a worker
 * @param address IP address and port: the sibling port of an entry instance, the target's port of a
 *     worker
 */
public record Member(String name, MemberRole role, ZoneId zone, String address, MemberState state) {
    /** No component may be null. */
    public Member {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(state, "state");
    }
}
