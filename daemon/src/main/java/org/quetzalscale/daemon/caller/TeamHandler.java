package org.quetzalscale.daemon.caller;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** Serves the API calls of a team that this process answers itself, such as those on jobs. */
@FunctionalInterface
public interface TeamHandler {
    /**
     * Answers a call with a verified key. Called on an event loop, so it must not block; a failed
     * stage becomes an error answer.
     */
    CompletionStage<HttpReply> handle(TeamId team, HttpCall call);
}
