package org.quetzalscale.core.fleet;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of machines. It is out of date by up to some seconds. */
public interface InstanceDirectory {
    /**
     * Lists all machines of a role, including those terminated less than an hour ago. Fails with
     * STORE_UNAVAILABLE while the list cannot be read.
     */
    CompletionStage<List<Member>> list(MemberRole role);
}
