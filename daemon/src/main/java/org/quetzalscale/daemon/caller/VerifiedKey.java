package org.quetzalscale.daemon.caller;

import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.TeamId;

/** A key whose secret the caller knows, as it was declared when it was verified. */
record VerifiedKey(KeyId id, TeamId team, String secretHash) {}
