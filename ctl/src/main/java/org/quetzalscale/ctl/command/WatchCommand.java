package org.quetzalscale.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.client.WatchListener;
import org.quetzalscale.ctl.client.WatchLoop;
import org.quetzalscale.ctl.document.KindNames;
import org.quetzalscale.net.json.Json;

/** Shows the resources of a kind and then their changes as they happen. */
@Command(name = "watch", description = "Show resources of a kind and then their changes")
public final class WatchCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Option(
            name = "--events",
            title = "count",
            description = "End after this many lines; default: until interrupted")
    @IntegerRange(min = 1)
    private int maxEvents = Integer.MAX_VALUE;

    @Arguments(title = "kind", description = "Kind")
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        Kind kind =
                KindNames.require(CommandArguments.require(arguments, 1, 1, "watch <kind>").get(0));
        new WatchLoop(
                        session.client(),
                        session.timing(),
                        kind,
                        options.timeoutMillis(),
                        new Printer(session, maxEvents))
                .run();
    }

    private static final class Printer implements WatchListener {
        private final Session session;
        private int remaining;

        Printer(Session session, int maxEvents) {
            this.session = session;
            this.remaining = maxEvents;
        }

        @Override
        public boolean changed(JsonNode line) {
            session.out().println(session.options().json() ? Json.write(line) : text(line));
            session.out().flush();
            remaining--;
            return remaining > 0;
        }

        @Override
        public void note(String text) {
            session.err().println("quetzalctl: " + text);
        }

        private static String text(JsonNode line) {
            JsonNode spec = line.path("resource").path("spec");
            return line.path("type").asText()
                    + " "
                    + line.path("kind").asText()
                    + "/"
                    + line.path("name").asText()
                    + " (revision "
                    + line.path("revision").asLong()
                    + ")"
                    + (spec.isMissingNode() ? "" : " " + spec);
        }
    }
}
