package org.quetzalscale.standin.load;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.json.Json;

/** Sends requests by a schedule and reports how they went. */
@Command(name = "load", description = "Sends requests by a schedule and reports how they went")
public final class LoadCommand implements Runnable {
    @Required
    @Option(name = "--address", description = "IP number and port to send to; may be repeated")
    private List<String> addresses = new ArrayList<>();

    @Option(name = "--team", description = "Team as <name> or <name>=<key>; may be repeated")
    private List<String> teams = new ArrayList<>();

    @Option(name = "--queue", description = "Queue; may be repeated")
    private List<String> queues = new ArrayList<>();

    @Option(name = "--path", description = "Path with {queue}, {ms} and {size}")
    private String path = "/q/{queue}/work?ms={ms}&size={size}";

    @Option(name = "--seed", description = "Seed of the arrivals")
    private long seed = 1;

    @Option(name = "--duration-ms", description = "Time in which requests arrive, in ms")
    private long durationMillis = 10_000;

    @Option(name = "--warmup-ms", description = "Time that is not recorded, in ms")
    private long warmupMillis = 0;

    @Option(name = "--max-requests", description = "Bound on the number of requests")
    private int maxRequests = 100_000;

    @Option(name = "--max-in-flight", description = "Bound on the requests in flight")
    private int maxInFlight = 2000;

    @Option(name = "--rate", description = "Mean arrivals per second on each queue")
    private double meanRate = 20;

    @Option(name = "--burst-ms", description = "Length of a burst, in ms; 0 for a constant rate")
    private long burstMillis = 3000;

    @Option(name = "--service-ms", description = "Mean time that a request asks for, in ms")
    private double serviceMillis = 20;

    @Option(name = "--size", description = "Size of each answer, in bytes")
    private int sizeBytes = 1024;

    @Option(name = "--post-share", description = "Share of requests by POST")
    private double postShare = 0;

    @Option(name = "--keyed-share", description = "Share of POSTs with an idempotency key")
    private double keyedShare = 0;

    @Option(name = "--deadline-ms", description = "Time limit from a request's arrival, in ms")
    private int deadlineMillis = 2000;

    @Option(name = "--json", description = "File for the results as JSON")
    private String jsonFile = "";

    @Override
    public void run() {
        LoadReport report = new LoadRun(options()).run();
        System.out.print(report.toTable());
        if (!jsonFile.isEmpty()) {
            try {
                Files.write(Path.of(jsonFile), Json.writeBytes(report));
            } catch (IOException e) {
                throw new UncheckedIOException("can not write " + jsonFile, e);
            }
        }
    }

    private LoadOptions options() {
        return new LoadOptions(
                addresses.stream().map(LoadCommand::address).toList(),
                teams.isEmpty()
                        ? List.of(new LoadOptions.Team("team-1", ""))
                        : teams.stream().map(LoadCommand::team).toList(),
                queues.isEmpty() ? List.of("queue-1") : queues,
                path,
                seed,
                durationMillis,
                warmupMillis,
                maxRequests,
                maxInFlight,
                meanRate,
                burstMillis,
                serviceMillis,
                sizeBytes,
                postShare,
                keyedShare,
                deadlineMillis);
    }

    private static LoadOptions.Team team(String text) {
        int equals = text.indexOf('=');
        return equals < 0
                ? new LoadOptions.Team(text, "")
                : new LoadOptions.Team(text.substring(0, equals), text.substring(equals + 1));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    "address",
                    "address \"" + text + "\" is not of the form <ip>:<port>");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
