package org.quetzalscale.daemon.caller;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** Answers the calls of a team that this process serves itself, such as those about jobs. */
@FunctionalInterface
public interface TeamHandler {
    /**
     * Answers a call whose key was verified. Called on an event loop, so it must not block; a
     * failure of the stage is answered as an error.
     */
    CompletionStage<HttpReply> handle(TeamId team, HttpCall call);
}
