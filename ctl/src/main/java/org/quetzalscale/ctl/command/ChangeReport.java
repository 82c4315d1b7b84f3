package org.quetzalscale.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.ctl.apply.Action;
import org.quetzalscale.ctl.client.InForceWait;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.client.Written;
import org.quetzalscale.net.json.Json;

/** Collects what a command changed, waits if asked to, and prints it. */
final class ChangeReport {
    private final Session session;
    private final ArrayNode results = Json.mapper().createArrayNode();
    private final Map<Action, Integer> counts = new EnumMap<>(Action.class);
    private final StringBuilder lines = new StringBuilder();
    private String secret = "";
    private Written latest = new Written(0, true, List.of());

    ChangeReport(Session session) {
        this.session = session;
        for (Action action : Action.values()) {
            counts.put(action, 0);
        }
    }

    /** Adds a resource that was written. */
    void add(Action action, Resource resource, Written written, String diff) {
        note(action, resource, written.revision(), diff);
        if (written.revision() >= latest.revision()) {
            latest = written;
        }
    }

    /** Adds a resource that is as declared; its version may not be in force everywhere yet. */
    void addUnchanged(Resource resource) {
        add(Action.UNCHANGED, resource, new Written(resource.version(), true, List.of()), "");
    }

    /** Adds a resource that would be written, or the diff of one. */
    void note(Action action, Resource resource, long revision, String diff) {
        counts.merge(action, 1, Integer::sum);
        ObjectNode result = results.addObject();
        result.put("action", action.title())
                .put("kind", resource.kind().path())
                .put("name", resource.name());
        lines.append(action.title()).append(' ').append(resource.title());
        if (revision > 0) {
            result.put("revision", revision);
            lines.append(" (revision ").append(revision).append(')');
        }
        lines.append('\n');
        if (!diff.isEmpty()) {
            result.put("diff", diff);
            lines.append("  ").append(diff.replace("\n", "\n  ")).append('\n');
        }
    }

    /** Shows the secret of a key that was created. */
    void secret(String text) {
        secret = text;
    }

    /** Prints the report of writes that were not sent. */
    void printDryRun() {
        lines.append(summary()).append(" (dry run, nothing was sent)\n");
        print(Json.mapper().createObjectNode().put("dryRun", true));
    }

    /** Prints what was done before a failure. */
    void printPartial() {
        if (!results.isEmpty()) {
            lines.append(summary()).append(", then stopped\n");
            print(Json.mapper().createObjectNode().put("complete", false));
        }
    }

    /**
     * Waits until the latest revision is in force, if the options ask for it, and prints the
     * report.
     *
     * @throws org.quetzalscale.ctl.CtlException TIMED_OUT after the report is printed
     */
    void finish() {
        try {
            if (session.options().waits() && latest.revision() > 0) {
                new InForceWait(session.client(), session.timing())
                        .await(latest.revision(), session.options().timeoutMillis());
                latest = new Written(latest.revision(), true, List.of());
            }
        } finally {
            printState();
        }
    }

    private void printState() {
        ObjectNode document = Json.mapper().createObjectNode();
        document.put("revision", latest.revision()).put("inForce", latest.inForce());
        if (!secret.isEmpty()) {
            document.put("secret", secret);
            lines.append("secret, shown only now: ").append(secret).append('\n');
        }
        latest.pending().forEach(document.putArray("pending")::add);
        lines.append(summary());
        if (latest.revision() > 0 && !latest.inForce()) {
            lines.append("; revision ").append(latest.revision()).append(" is not known in force");
            if (!latest.pending().isEmpty()) {
                lines.append(", pending: ").append(String.join(", ", latest.pending()));
            }
        }
        lines.append('\n');
        print(document);
    }

    private void print(ObjectNode document) {
        if (session.options().json()) {
            document.set("results", results);
            session.print(document);
        } else {
            session.out().print(lines);
        }
    }

    private String summary() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (action, count) ->
                        text.append(text.isEmpty() ? "" : ", ")
                                .append(count)
                                .append(' ')
                                .append(action.title()));
        return text.toString();
    }
}
