package org.quetzalscale.daemon.caller;

import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.TeamId;

/** A key whose secret was verified, with its declaration at that time. */
record VerifiedKey(KeyId id, TeamId team, String secretHash) {}
