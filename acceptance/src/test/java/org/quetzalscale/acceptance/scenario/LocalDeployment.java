package org.quetzalscale.acceptance.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.acceptance.support.Caller;
import org.quetzalscale.acceptance.support.Declarations;
import org.quetzalscale.acceptance.support.Eventually;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.ctl.command.CtlRunner;
import org.quetzalscale.daemon.Daemon;
import org.quetzalscale.daemon.settings.Setting;
import org.quetzalscale.daemon.settings.Settings;
import org.quetzalscale.standin.platform.FaultMode;
import org.quetzalscale.standin.platform.FaultRule;
import org.quetzalscale.standin.platform.PlatformOptions;
import org.quetzalscale.standin.platform.PlatformServer;
import org.quetzalscale.standin.target.Execution;
import org.quetzalscale.standin.target.TargetOptions;
import org.quetzalscale.standin.target.TargetServer;

/** Instances, targets and a platform in this process, with the declarations applied. */
final class LocalDeployment implements AutoCloseable {
    static final Duration LIMIT = Duration.ofSeconds(20);

    private static final long GONE_MILLIS = 5_000;
    private static final long USAGE_PERIOD_MILLIS = 500;
    private static final int CTL_TIMEOUT_MILLIS = 15_000;
    private static final Pattern SECRET = Pattern.compile("qk_[A-Za-z0-9_.-]+");
    private static final Caller OPERATOR = Caller.withoutKey();

    private final PlatformServer platform;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Daemon> running = new ArrayList<>();
    private final List<TargetServer> targets = new ArrayList<>();

    LocalDeployment(int instances, int targetCount, long listLagMillis) {
        platform =
                new PlatformServer(
                        new PlatformOptions(
                                "127.0.0.1", 0, listLagMillis, GONE_MILLIS, USAGE_PERIOD_MILLIS));
        platform.start();
        for (int i = 1; i <= targetCount; i++) {
            TargetServer target =
                    new TargetServer(new TargetOptions("worker-" + i, "127.0.0.1", 0, 0, 8, 64));
            target.start();
            targets.add(target);
            register(i);
        }
        for (int i = 1; i <= instances; i++) {
            Daemon daemon = new Daemon(settings(i));
            daemon.start();
            daemons.add(daemon);
            running.add(daemon);
        }
        for (int i = 1; i <= instances; i++) {
            int number = i;
            Eventually.await("instance " + number + " ready", LIMIT, () -> isReady(number));
        }
    }

    /** Waits until every instance knows all others, which the lag of the platform's list delays. */
    void awaitAcquaintance() {
        for (int i = 1; i <= instances(); i++) {
            int number = i;
            Eventually.await(
                    "instance " + number + " knows the others",
                    LIMIT,
                    () ->
                            read(number, "/v1/status").get("knownInstances").size()
                                    == instances() - 1);
        }
    }

    int instances() {
        return daemons.size();
    }

    int callerPort(int number) {
        return daemons.get(number - 1).callerPort();
    }

    TargetServer target(int number) {
        return targets.get(number - 1);
    }

    void fault(String part, FaultMode mode, String instance) {
        platform.setFaults(part, List.of(new FaultRule(mode, 0L, 0, "", instance)));
    }

    void loseAnswers(int calls, String match) {
        platform.setFaults(
                "table", List.of(new FaultRule(FaultMode.LOSE_ANSWER, 0L, calls, match, "")));
    }

    void repair() {
        platform.setFaults("table", List.of());
    }

    /** Reports a worker as leaving in the platform's list. */
    void leave(int target) {
        control("POST", "/v1/machines/worker/worker-" + target + "/leaving", "");
    }

    boolean isReady(int number) {
        return operate(number, "GET", "/readyz", "").join().statusCode() == 200;
    }

    /** Sends a call to an instance's operator port. */
    CompletableFuture<HttpResponse<String>> operate(
            int number, String method, String path, String body) {
        return OPERATOR.send(daemons.get(number - 1).operatorPort(), method, path, body);
    }

    JsonNode read(int number, String path) {
        return Caller.read(operate(number, "GET", path, "").join());
    }

    /** Runs the command-line tool against the first instance and returns what it printed. */
    String ctl(String... arguments) {
        List<String> line = new ArrayList<>(Arrays.asList(arguments));
        line.add("--server");
        line.add("127.0.0.1:" + daemons.get(0).operatorPort());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        ExitCode code =
                new CtlRunner(Map.of(), out, out, Timing.system(), CTL_TIMEOUT_MILLIS)
                        .run(line.toArray(String[]::new));
        String printed = bytes.toString(StandardCharsets.UTF_8);
        if (code != ExitCode.DONE) {
            throw new AssertionError("quetzalctl " + line + " ended with " + code + printed);
        }
        return printed;
    }

    Caller createKey(String name, String team) {
        Matcher secret = SECRET.matcher(ctl("key", "create", name, "--team", team, "--wait"));
        if (!secret.find()) {
            throw new AssertionError("no secret shown");
        }
        return Caller.withKey(secret.group());
    }

    /** Every whole request that arrived at any target. */
    List<Execution> executions() {
        return targets.stream()
                .flatMap(target -> target.log().report(true).executions().stream())
                .filter(Execution::received)
                .toList();
    }

    /** Stops an instance gracefully, on a thread of its own. */
    CompletableFuture<Void> stop(int number) {
        Daemon daemon = daemons.get(number - 1);
        running.remove(daemon);
        return CompletableFuture.runAsync(daemon::stop);
    }

    @Override
    public void close() {
        repair();
        CompletableFuture.allOf(
                        running.stream()
                                .map(daemon -> CompletableFuture.runAsync(daemon::stop))
                                .toArray(CompletableFuture[]::new))
                .join();
        targets.forEach(TargetServer::stop);
        platform.stop();
    }

    private Settings settings(int number) {
        return Settings.of(
                Map.of(
                        Setting.INSTANCE_ID, "instance-" + number,
                        Setting.PLATFORM_ADDRESS, "127.0.0.1:" + platform.port(),
                        Setting.CALLER_PORT, "0",
                        Setting.OPERATOR_PORT, "0",
                        Setting.SIBLING_PORT, "0",
                        Setting.BALANCER_DELAY_MILLIS, "200",
                        Setting.DRAIN_BOUND_MILLIS, "5000"),
                Map.of());
    }

    private void register(int number) {
        control(
                "PUT",
                "/v1/machines/worker/worker-" + number,
                "{\"zone\":\"zone-1\",\"address\":\"127.0.0.1:%d\",\"processId\":0}"
                        .formatted(target(number).port()));
    }

    private void control(String method, String path, String body) {
        HttpResponse<String> answer = OPERATOR.call(platform.port(), method, path, body);
        if (answer.statusCode() != 204) {
            throw new AssertionError(path + ": " + answer.statusCode() + answer.body());
        }
    }

    /** Applies the declarations and waits until they are in force. */
    void applyDeclarations() {
        try {
            Path file = Files.createTempFile("laboratory", ".yaml");
            Files.writeString(
                    file, Declarations.yaml(targets.stream().map(TargetServer::port).toList()));
            ctl("apply", "-f", file.toString(), "--wait");
            Files.delete(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
