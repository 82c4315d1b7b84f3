package org.quetzalscale.acceptance.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToLongFunction;
import org.quetzalscale.net.json.Json;

/**
 * Measures what control costs an idle instance as the configuration and the number of instances
 * grow, with daemons and the platform stand-in as separate processes on this machine. Not a test;
 * docs/CAPACITY.md names the command.
 */
public final class CapacityBench {
    private static final int IDLE_SECONDS = 20;
    private static final int CHANGES = 40;
    private static final int READY_POLLS = 600;
    private static final long POLL_NANOS = 100_000_000L;
    private static final double MIB = 1024.0 * 1024.0;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<RunningProcess> daemons = new ArrayList<>();
    private RunningProcess platform;

    private CapacityBench() {}

    /** Processor time, bytes and resident memory of one process at a moment. */
    private record Usage(long cpuMillis, long bytes, long residentBytes) {
        static Usage of(RunningProcess process) {
            long cpuMillis =
                    ProcessHandle.of(process.pid())
                            .flatMap(handle -> handle.info().totalCpuDuration())
                            .orElseThrow()
                            .toMillis();
            // Read and written bytes of all descriptors; an idle daemon uses only sockets.
            long bytes = procValue(process, "io", "rchar") + procValue(process, "io", "wchar");
            return new Usage(cpuMillis, bytes, procValue(process, "status", "VmRSS") * 1024);
        }
    }

    /**
     * Runs one row: number of daemons, workers, pools and teams.
     *
     * @param args four whole numbers a row, any number of rows
     */
    public static void main(String[] args) {
        System.out.println(
                "daemons workers pools teams | idle, mean (largest): cpu % of a core, KB/s, RSS MiB |"
                        + " table reads/s, commits/s | change: cpu ms, bytes, ms p50, ms max");
        for (int i = 0; i + 3 < args.length; i += 4) {
            int[] row = Arrays.stream(args, i, i + 4).mapToInt(Integer::parseInt).toArray();
            CapacityBench bench = new CapacityBench();
            try {
                bench.run(row[0], row[1], row[2], row[3]);
            } finally {
                bench.daemons.forEach(RunningProcess::close);
                bench.platform.close();
            }
        }
    }

    private void run(int daemonCount, int workers, int pools, int teams) {
        platform =
                RunningProcess.start(
                        "platform",
                        "org.quetzalscale.standin.StandinMain",
                        "platform",
                        "--port",
                        "0");
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(startDaemon(i));
        }
        daemons.forEach(this::awaitReady);
        declare(workers, pools, teams);

        JsonNode before = statistics();
        List<Usage> start = daemons.stream().map(Usage::of).toList();
        LockSupport.parkNanos(IDLE_SECONDS * 1_000_000_000L);
        List<Usage> end = daemons.stream().map(Usage::of).toList();
        JsonNode after = statistics();

        long[] changeMillis = new long[CHANGES];
        for (int i = 0; i < CHANGES; i++) {
            long startNanos = System.nanoTime();
            post("teams", "change-" + i, "{\"share\":1,\"upperLimit\":1}");
            changeMillis[i] = (System.nanoTime() - startNanos) / 1_000_000;
        }
        List<Usage> changed = daemons.stream().map(Usage::of).toList();
        Arrays.sort(changeMillis);
        double changeSeconds = Arrays.stream(changeMillis).sum() / 1_000.0;
        double idleCpuPerSecond = mean(start, end, Usage::cpuMillis) / IDLE_SECONDS;
        double idleBytesPerSecond = mean(start, end, Usage::bytes) / IDLE_SECONDS;
        System.out.printf(
                "%d %d %d %d | %.2f (%.2f), %.2f (%.2f), %.0f | %.1f, %.1f | %.2f, %.0f, %d, %d%n",
                daemonCount,
                workers,
                pools,
                teams,
                idleCpuPerSecond / 10,
                largest(start, end, Usage::cpuMillis) / IDLE_SECONDS / 10,
                idleBytesPerSecond / 1024,
                largest(start, end, Usage::bytes) / IDLE_SECONDS / 1024,
                end.stream().mapToLong(Usage::residentBytes).average().orElse(0) / MIB,
                rate(before, after, "tableReads"),
                rate(before, after, "tableCommits"),
                (mean(end, changed, Usage::cpuMillis) - idleCpuPerSecond * changeSeconds) / CHANGES,
                (mean(end, changed, Usage::bytes) - idleBytesPerSecond * changeSeconds) / CHANGES,
                changeMillis[CHANGES / 2],
                changeMillis[CHANGES - 1]);
    }

    private RunningProcess startDaemon(int index) {
        return RunningProcess.start(
                "daemon-" + index,
                "org.quetzalscale.daemon.QuetzalscaleDaemon",
                "--instance-id",
                "instance-" + index,
                "--platform-address",
                "127.0.0.1:" + platform.port("platform"),
                "--caller-port",
                "0",
                "--operator-port",
                "0",
                "--sibling-port",
                "0",
                "--log-level",
                "warn");
    }

    private void declare(int workers, int pools, int teams) {
        for (int i = 0; i < teams; i++) {
            post("teams", "team-" + i, "{\"share\":1,\"upperLimit\":64}");
        }
        for (int i = 0; i < pools; i++) {
            post("pools", "pool-" + i, "{\"minAvailable\":0}");
        }
        for (int i = 0; i < workers; i++) {
            post(
                    "workers",
                    "worker-" + i,
                    String.format(
                            "{\"pool\":\"pool-%d\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z-%d\","
                                    + "\"rack\":\"r-%d\",\"cores\":64,\"memoryMib\":131072}",
                            i % pools, 20_000 + i, i % 9, i / 4));
        }
    }

    private void post(String kind, String name, String spec) {
        String body = "{\"kind\":\"" + kind + "\",\"name\":\"" + name + "\",\"spec\":" + spec + "}";
        HttpResponse<String> answer =
                send(
                        HttpRequest.newBuilder(operator("/v1/" + kind))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build());
        if (answer.statusCode() / 100 != 2) {
            throw new IllegalStateException(answer.body());
        }
    }

    private void awaitReady(RunningProcess daemon) {
        URI uri = URI.create("http://127.0.0.1:" + daemon.port("operator") + "/readyz");
        for (int i = 0; i < READY_POLLS; i++) {
            if (send(HttpRequest.newBuilder(uri).build()).statusCode() == 200) {
                return;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        throw new IllegalStateException("not ready: " + daemon.output());
    }

    private URI operator(String path) {
        return URI.create("http://127.0.0.1:" + daemons.get(0).port("operator") + path);
    }

    private JsonNode statistics() {
        URI uri = URI.create("http://127.0.0.1:" + platform.port("platform") + "/v1/statistics");
        return Json.read(send(HttpRequest.newBuilder(uri).build()).body(), JsonNode.class);
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static double rate(JsonNode before, JsonNode after, String field) {
        return (double) (after.get(field).asLong() - before.get(field).asLong()) / IDLE_SECONDS;
    }

    private static double mean(List<Usage> start, List<Usage> end, ToLongFunction<Usage> value) {
        double sum = 0;
        for (int i = 0; i < start.size(); i++) {
            sum += value.applyAsLong(end.get(i)) - value.applyAsLong(start.get(i));
        }
        return sum / start.size();
    }

    private static double largest(List<Usage> start, List<Usage> end, ToLongFunction<Usage> value) {
        double largest = 0;
        for (int i = 0; i < start.size(); i++) {
            double used = value.applyAsLong(end.get(i)) - value.applyAsLong(start.get(i));
            largest = Math.max(largest, used);
        }
        return largest;
    }

    private static long procValue(RunningProcess process, String file, String field) {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), file)).stream()
                    .filter(line -> line.startsWith(field + ":"))
                    .map(line -> line.replaceAll("[^0-9]", ""))
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
