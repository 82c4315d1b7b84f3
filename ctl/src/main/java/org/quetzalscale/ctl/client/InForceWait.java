package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/** Waits until a revision is in force on every live instance. */
public final class InForceWait {
    private static final long POLL_MILLIS = 250;

    private final OperatorClient client;
    private final Timing timing;

    /** Creates a wait. */
    public InForceWait(OperatorClient client, Timing timing) {
        this.client = client;
        this.timing = timing;
    }

    /**
     * Polls the revision.
     *
     * @throws CtlException TIMED_OUT, with the instances that are pending, if it is not in force
     *     within the time limit; UNREACHABLE if no server answers at its end
     */
    public void await(long revision, long timeoutMillis) {
        long startMillis = timing.time().nowMillis();
        while (true) {
            String state;
            CtlException unreachable = null;
            try {
                JsonNode body = poll(revision);
                if (body.path("inForce").asBoolean()) {
                    return;
                }
                state = pending(body);
            } catch (CtlException e) {
                if (e.exitCode() != ExitCode.UNREACHABLE) {
                    throw e;
                }
                unreachable = e;
                state = e.getMessage();
            }
            if (timing.time().nowMillis() - startMillis >= timeoutMillis) {
                throw unreachable != null
                        ? unreachable.within("revision " + revision + " may not be in force")
                        : new CtlException(
                                ExitCode.TIMED_OUT,
                                "revision "
                                        + revision
                                        + " is accepted, but not in force everywhere within "
                                        + timeoutMillis
                                        + " ms"
                                        + state);
            }
            timing.pause().accept(POLL_MILLIS);
        }
    }

    private JsonNode poll(long revision) {
        try {
            return client.read("/v1/revisions/" + revision, Map.of());
        } catch (CtlException e) {
            // An instance that has not learnt of the revision yet does not know it.
            if (e.errorCode().filter(ErrorKind.RESOURCE_UNKNOWN.code()::equals).isPresent()) {
                return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
            }
            throw e;
        }
    }

    private static String pending(JsonNode body) {
        List<String> instances = new ArrayList<>();
        body.path("pending").forEach(instance -> instances.add(instance.asText()));
        return instances.isEmpty() ? "" : "; pending: " + String.join(", ", instances);
    }
}
