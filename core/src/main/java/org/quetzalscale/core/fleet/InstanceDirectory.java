package org.quetzalscale.core.fleet;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of machines. It lags behind the truth by some seconds. */
public interface InstanceDirectory {
    /**
     * All machines of a role, those gone for less than an hour included. Fails with
     * STORE_UNAVAILABLE while the list can't be had.
     */
    CompletionStage<List<Member>> list(MemberRole role);
}
