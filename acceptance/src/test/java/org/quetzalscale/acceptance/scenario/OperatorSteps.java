package org.quetzalscale.acceptance.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.quetzalscale.acceptance.support.Caller;

/** Steps in which two operators write through two instances at the same time. */
public final class OperatorSteps {
    private static final int LOST_ANSWERS = 4;
    private static final int RACED_ADDRESS_PORT = 20_000;

    private final List<HttpResponse<String>> answers = new ArrayList<>();
    private final TreeMap<Long, Integer> acceptedByRevision = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final long[] shownRevisions = new long[2];

    /** Each of two operators deletes one of the two workers. */
    @When("racing operators delete one worker each")
    public void deleteWorkers() {
        race(
                deployment().operate(1, "DELETE", "/v1/workers/worker-1", ""),
                deployment().operate(2, "DELETE", "/v1/workers/worker-2", ""));
    }

    /** Two operators create the same workers in different pools. */
    @When("racing operators create {int} workers, each in two pools")
    public void createWorkers(int count) {
        deployment().operate(1, "POST", "/v1/pools", pool("mould", 0, "")).join();
        for (int i = 0; i < count; i++) {
            race(
                    deployment().operate(1, "POST", "/v1/workers", worker(i, "nitrate")),
                    deployment().operate(2, "POST", "/v1/workers", worker(i, "mould")));
        }
    }

    /** An operator creates a pool. */
    @When("an operator creates a pool")
    public void createPool() {
        HttpResponse<String> answer =
                deployment().operate(1, "POST", "/v1/pools", pool("mould", 0, "")).join();
        assertThat(answer.statusCode()).as(answer.body()).isLessThan(300);
        note(answer, 0);
    }

    /** Compares what was answered with what the instances showed at that time. */
    @Then("what was answered as in force was in force everywhere")
    public void inForceEverywhere() {
        assertThat(violations).isEmpty();
    }

    /** Two operators replace one pool again and again. */
    @When("racing operators change one pool {int} times while answers of the table are lost")
    public void changePool(int times) {
        deployment().loseAnswers(LOST_ANSWERS, "resource/pools/nitrate");
        for (int i = 0; i < times; i++) {
            String version =
                    deployment().read(1, "/v1/pools/nitrate").get("resourceVersion").asText();
            int first = answers.size();
            race(
                    deployment()
                            .operate(
                                    1, "PUT", "/v1/pools/nitrate", pool("nitrate", 2 * i, version)),
                    deployment()
                            .operate(
                                    2,
                                    "PUT",
                                    "/v1/pools/nitrate",
                                    pool("nitrate", 2 * i + 1, version)));
            note(answers.get(first), 2 * i);
            note(answers.get(first + 1), 2 * i + 1);
        }
    }

    /** Counts accepted writes; the others must have been refused. */
    @Then("exactly {int} of them succeeded")
    public void succeeded(int count) {
        assertThat(answers.stream().filter(answer -> answer.statusCode() < 300))
                .as("accepted of %s", answers)
                .hasSize(count);
        assertThat(answers.stream().filter(answer -> answer.statusCode() >= 300))
                .allMatch(answer -> answer.statusCode() == 409);
    }

    /** Counts workers on both instances. */
    @Then("{int} worker is left")
    public void left(int count) {
        for (int i = 1; i <= 2; i++) {
            assertThat(deployment().read(i, "/v1/workers").findValuesAsText("address"))
                    .hasSize(count);
        }
    }

    /** Compares the workers as both instances show them. */
    @Then("every worker is in the same pool everywhere")
    public void samePool() {
        JsonNode workers = deployment().read(1, "/v1/workers");
        assertThat(deployment().read(2, "/v1/workers")).isEqualTo(workers);
        JsonNode assignments = deployment().read(1, "/v1/assignments");
        assertThat(assignments.findValuesAsText("pool")).hasSize(12).isSubsetOf("nitrate", "mould");
        assertThat(deployment().read(2, "/v1/assignments")).isEqualTo(assignments);
    }

    /** Checks what was noted at each answer, and the final value. */
    @Then("every accepted change was in force everywhere at once and none reverted")
    public void inForce() {
        inForceEverywhere();
        assertThat(acceptedByRevision).hasSizeGreaterThan(1);
        int last = acceptedByRevision.lastEntry().getValue();
        for (int i = 1; i <= 2; i++) {
            assertThat(shownValue(i)).isEqualTo(last);
        }
    }

    private void note(HttpResponse<String> answer, int value) {
        if (answer.statusCode() >= 300) {
            return;
        }
        long revision = Caller.read(answer).get("revision").asLong();
        boolean inForce = Caller.read(answer).get("inForce").asBoolean();
        if (acceptedByRevision.put(revision, value) != null) {
            violations.add("revision " + revision + " was given twice");
        }
        for (int i = 1; i <= 2; i++) {
            long shown = deployment().read(i, "/v1/status").get("revision").asLong();
            if (inForce && shown < revision) {
                violations.add("instance " + i + " is at " + shown + ", before " + revision);
            }
            if (shown < shownRevisions[i - 1]) {
                violations.add("instance " + i + " went back to " + shown);
            }
            shownRevisions[i - 1] = shown;
        }
    }

    private static int shownValue(int instance) {
        return deployment()
                .read(instance, "/v1/pools/nitrate")
                .get("spec")
                .get("minAvailable")
                .asInt();
    }

    private void race(
            CompletableFuture<HttpResponse<String>> first,
            CompletableFuture<HttpResponse<String>> second) {
        answers.add(first.join());
        answers.add(second.join());
    }

    private static LocalDeployment deployment() {
        return RequestSteps.deployment();
    }

    private static String pool(String name, int minAvailable, String version) {
        return "{\"kind\":\"pools\",\"name\":\"%s\",%s\"spec\":{\"minAvailable\":%d,\"spare\":false}}"
                .formatted(
                        name,
                        version.isEmpty() ? "" : "\"resourceVersion\":" + version + ",",
                        minAvailable);
    }

    private static String worker(int number, String pool) {
        return """
               {"kind":"workers","name":"raced-%d","spec":{"pool":"%s","address":"127.0.0.1:%d",
               "zone":"zone-1","rack":"rack-1","slots":8,"connections":64,"cores":64,
               "memoryMib":131072,"accelerators":0,"drain":false}}
               """
                .formatted(number, pool, RACED_ADDRESS_PORT + number);
    }
}
