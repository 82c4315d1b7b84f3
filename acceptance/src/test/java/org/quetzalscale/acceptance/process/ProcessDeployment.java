package org.quetzalscale.acceptance.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.acceptance.support.Caller;
import org.quetzalscale.acceptance.support.Declarations;
import org.quetzalscale.acceptance.support.Eventually;

/** A platform, two targets and two daemons as processes, with the declarations applied. */
final class ProcessDeployment implements AutoCloseable {
    static final Duration LIMIT = Duration.ofSeconds(20);

    private static final String STANDIN = "org.quetzalscale.standin.StandinMain";
    private static final String DAEMON = "org.quetzalscale.daemon.QuetzalscaleDaemon";
    private static final String CTL = "org.quetzalscale.ctl.QuetzalscaleCtl";
    private static final int CTL_SECONDS = 30;
    private static final Pattern SECRET = Pattern.compile("qk_[A-Za-z0-9_.-]+");
    private static final Caller CONTROL = Caller.withoutKey();

    private final List<RunningProcess> all = new ArrayList<>();
    private final RunningProcess platform;
    private final List<RunningProcess> targets = new ArrayList<>();
    private final List<RunningProcess> daemons = new ArrayList<>();

    ProcessDeployment(Path directory) {
        platform = launch("platform", STANDIN, "platform", "--port", "0");
        for (int i = 1; i <= 2; i++) {
            targets.add(startTarget(i));
            daemons.add(startDaemon(i));
        }
        awaitReady();
        Path file = directory.resolve("laboratory.yaml");
        try {
            Files.writeString(
                    file, Declarations.yaml(targets.stream().map(t -> t.port("target")).toList()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ctl("apply", "-f", file.toString(), "--wait");
    }

    RunningProcess daemon(int number) {
        return daemons.get(number - 1);
    }

    int callerPort(int number) {
        return daemon(number).port("caller");
    }

    int operatorPort(int number) {
        return daemon(number).port("operator");
    }

    /** Runs the command-line tool against the first daemon and returns what it printed. */
    String ctl(String... arguments) {
        List<String> line = new ArrayList<>(Arrays.asList(arguments));
        line.add("--server");
        line.add("127.0.0.1:" + operatorPort(1));
        RunningProcess tool = launch("ctl", CTL, line.toArray(String[]::new));
        assertThat(tool.exitCode(CTL_SECONDS)).as(tool.output()).isZero();
        tool.awaitOutputEnd();
        return tool.output();
    }

    /** Creates a key for a team and returns a caller that presents it. */
    Caller createKey(String name, String team) {
        Matcher secret = SECRET.matcher(ctl("key", "create", name, "--team", team, "--wait"));
        assertThat(secret.find()).as("secret shown").isTrue();
        return Caller.withKey(secret.group());
    }

    boolean isReady(int number) {
        return CONTROL.call(operatorPort(number), "GET", "/readyz", "").statusCode() == 200;
    }

    /** Sets the faults of the platform's parts, or removes them with an empty list of rules. */
    void setPlatformFaults(String rules) {
        for (String part : List.of("table", "objects", "machines", "tasks")) {
            assertThat(
                            CONTROL.call(
                                            platform.port("platform"),
                                            "PUT",
                                            "/v1/faults/" + part,
                                            "{\"rules\":[" + rules + "]}")
                                    .statusCode())
                    .isEqualTo(204);
        }
    }

    /** Number of whole requests that arrived at all targets, by path. */
    Map<String, Integer> executionsByPath() {
        Map<String, Integer> counts = new TreeMap<>();
        for (RunningProcess target : targets) {
            JsonNode report =
                    CONTROL.json(target.port("target-control"), "/v1/executions?details=true");
            for (JsonNode execution : report.get("executions")) {
                if (execution.get("received").asBoolean()) {
                    counts.merge(execution.get("path").asText(), 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    @Override
    public void close() {
        all.forEach(RunningProcess::close);
    }

    private RunningProcess startTarget(int number) {
        return launch(
                "target-" + number,
                STANDIN,
                "target",
                "--name",
                "worker-" + number,
                "--port",
                "0",
                "--platform",
                platformAddress());
    }

    private RunningProcess startDaemon(int number) {
        return launch(
                "daemon-" + number,
                DAEMON,
                "--instance-id",
                "instance-" + number,
                "--platform-address",
                platformAddress(),
                "--caller-port",
                "0",
                "--operator-port",
                "0",
                "--sibling-port",
                "0",
                "--balancer-delay-ms",
                "500");
    }

    private String platformAddress() {
        return "127.0.0.1:" + platform.port("platform");
    }

    private void awaitReady() {
        for (int i = 1; i <= daemons.size(); i++) {
            int number = i;
            Eventually.await("instance " + number + " ready", LIMIT, () -> isReady(number));
        }
    }

    private RunningProcess launch(String name, String mainClass, String... arguments) {
        RunningProcess process = RunningProcess.start(name, mainClass, arguments);
        all.add(process);
        return process;
    }
}
