package org.quetzalscale.acceptance.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quetzalscale.acceptance.support.Declarations.QUEUE;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.quetzalscale.acceptance.support.Caller;
import org.quetzalscale.acceptance.support.Eventually;
import org.quetzalscale.standin.platform.FaultMode;
import org.quetzalscale.standin.target.Execution;
import org.quetzalscale.standin.target.TargetBehavior;

/** Steps that send requests and count what ran at the targets. */
public final class RequestSteps {
    private static final long SEED = 20_260_612;
    private static final long LIST_LAG_MILLIS = 1_000;
    private static final long SHORT_LIST_LAG_MILLIS = 100;
    private static final int MAX_BODY_CHARS = 40_000;
    private static final TargetBehavior CUT = new TargetBehavior(false, false, true, 0);
    private static final TargetBehavior SHUTDOWN = new TargetBehavior(true, false, false, 0);

    /** The deployment of the scenario that runs; scenarios run one after the other. */
    private static LocalDeployment deployment;

    private final Random random = new Random(SEED);
    private final List<SentRequest> sent = new ArrayList<>();
    private Caller caller = Caller.withoutKey();
    private int keys;

    static LocalDeployment deployment() {
        return deployment;
    }

    /** Starts a deployment. */
    @Given("a deployment of {int} instances and {int} targets")
    public void start(int instances, int targets) {
        deployment = new LocalDeployment(instances, targets, SHORT_LIST_LAG_MILLIS);
        deployment.awaitAcquaintance();
        deployment.applyDeclarations();
    }

    /** Starts instances that do not know each other yet. */
    @Given("{int} instances that have just become ready")
    public void startUnacquainted(int instances) {
        deployment = new LocalDeployment(instances, 0, LIST_LAG_MILLIS);
    }

    /** Ends the deployment. */
    @After
    public void stop() {
        deployment.close();
    }

    /** Creates a key that the following requests present. */
    @Given("a key of team {string}")
    public void createKey(String team) {
        keys++;
        caller = deployment.createKey("key-" + keys, team);
    }

    /** Withdraws the key and waits until that is in force. */
    @When("the key is withdrawn")
    public void withdrawKey() {
        deployment.ctl("key", "revoke", "key-" + keys, "--wait");
    }

    /** Sends requests that take no time. */
    @When("{int} requests are sent")
    public void send(int count) {
        send(count, 0);
    }

    /** Sends requests without a key. */
    @When("{int} requests are sent without a key")
    public void sendWithoutKey(int count) {
        caller = Caller.withoutKey();
        send(count, 0);
    }

    /** Sends non-idempotent requests to the instances in turn, at once. */
    @When("{int} requests of {int} ms are sent")
    public void send(int count, int millis) {
        for (int i = 0; i < count; i++) {
            String path = "/request-" + sent.size() + "/echo";
            String body =
                    Integer.toString(sent.size(), 36) + "x".repeat(random.nextInt(MAX_BODY_CHARS));
            int instance = 1 + sent.size() % deployment.instances();
            sent.add(
                    new SentRequest(
                            path,
                            body,
                            caller.send(
                                    deployment.callerPort(instance),
                                    "POST",
                                    QUEUE + path + "?ms=" + millis,
                                    body)));
        }
    }

    /** Sends requests whose answers the target generates, so that no part comes before its end. */
    @When("{int} requests of {int} ms are sent for generated answers")
    public void sendForGeneratedAnswers(int count, int millis) {
        for (int i = 0; i < count; i++) {
            String path = "/request-" + sent.size();
            String query = "?ms=" + millis + "&size=" + SentRequest.GENERATED_CHARS;
            int port = deployment.callerPort(1 + sent.size() % deployment.instances());
            sent.add(
                    new SentRequest(
                            path, "", caller.send(port, "POST", QUEUE + path + query, "sample")));
        }
    }

    /** Ends a target with what runs on it. */
    @When("target {int} is killed")
    public void killTarget(int target) {
        deployment.target(target).stop();
    }

    /** Waits until requests run at targets. */
    @When("{int} requests run")
    public void awaitRunning(int count) {
        Eventually.await(
                count + " requests run",
                LocalDeployment.LIMIT,
                () -> executions().filter(e -> e.endedMillis() == 0).count() >= count);
    }

    /** Waits for all answers. */
    @When("all answers are there")
    public void awaitAnswers() {
        sent.forEach(SentRequest::outcome);
    }

    /** Fails the table for one instance. */
    @When("the table is cut off from instance {int}")
    public void cutTable(int instance) {
        deployment.fault("table", FaultMode.DOWN, "instance-" + instance);
    }

    /** Fails the table for all. */
    @When("the table is down")
    public void failTable() {
        deployment.fault("table", FaultMode.DOWN, "");
    }

    /** Makes all open connections to targets silent; new ones work. */
    @When("all connections to the targets go silent")
    public void silence() {
        deployment.target(1).silenceOpenConnections();
        deployment.target(2).silenceOpenConnections();
    }

    /** Makes the targets close connections after half of each answer. */
    @When("the targets cut their answers")
    public void cutAnswers() {
        deployment.target(1).behave(CUT);
        deployment.target(2).behave(CUT);
    }

    /** Drains a target by declaration. */
    @When("target {int} is drained")
    public void drain(int target) {
        deployment.ctl("drain", "worker-" + target);
    }

    /** Reports a target as leaving to the platform. */
    @When("target {int} leaves by the platform's list")
    public void leave(int target) {
        deployment.leave(target);
    }

    /** Makes a target refuse new requests and announce its end in answers. */
    @When("target {int} begins its shutdown")
    public void shutDown(int target) {
        deployment.target(target).behave(SHUTDOWN);
    }

    /** Sends requests for a time, and then some that must all run elsewhere. */
    @Then("target {int} gets no new work after {int} s")
    public void getsNoNewWork(int target, int seconds) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < seconds * 1_000_000_000L) {
            send(4, 20);
            awaitAnswers();
        }
        long arrivedBefore = arrivals(target);
        int first = sent.size();
        for (int i = 0; i < 10; i++) {
            send(4, 1);
            awaitAnswers();
        }
        assertThat(sent.subList(first, sent.size())).allMatch(SentRequest::isAnsweredByTarget);
        assertThat(arrivals(target))
                .as("requests that reached the target")
                .isEqualTo(arrivedBefore);
    }

    /** Counts requests at the targets. */
    @Then("no request ran")
    public void ranNone() {
        awaitAnswers();
        assertThat(sent).isNotEmpty().noneMatch(SentRequest::isAnsweredByTarget);
        assertThat(executions()).isEmpty();
    }

    /** Counts requests at the targets. */
    @Then("at least {int} requests ran")
    public void ranAtLeast(int count) {
        assertThat(executions().count()).isGreaterThanOrEqualTo(count);
    }

    /** Counts answers of targets. */
    @Then("{int} requests were answered by a target")
    public void answered(int count) {
        assertThat(sent.stream().filter(SentRequest::isAnsweredByTarget)).hasSize(count);
    }

    /** Counts requests that held a slot at the same time. */
    @Then("never more than {int} requests ran at once")
    public void ranAtOnce(int limit) {
        // At one instant, ends come before starts.
        List<long[]> events =
                executions()
                        .flatMap(
                                e ->
                                        Stream.of(
                                                new long[] {e.startedMillis(), 1},
                                                new long[] {e.endedMillis(), -1}))
                        .sorted(
                                Comparator.<long[]>comparingLong(event -> event[0])
                                        .thenComparingLong(event -> event[1]))
                        .toList();
        long atOnce = 0;
        long most = 0;
        for (long[] event : events) {
            atOnce += event[1];
            most = Math.max(most, atOnce);
        }
        assertThat(most).isBetween(1L, (long) limit);
    }

    /** Compares each answer with what was sent. */
    @Then("every answer is the caller's own and whole")
    public void ownAndWhole() {
        assertThat(sent).isNotEmpty().allMatch(SentRequest::isOwnAndWhole);
    }

    /** Compares answers that say not run with the targets' logs. */
    @Then("what is told as not run did not run")
    public void notRunIsTrue() {
        Map<String, Long> ran = countsByPath();
        assertThat(sent.stream().filter(SentRequest::isToldNotRun))
                .noneMatch(request -> ran.containsKey(request.path()));
    }

    /** Counts executions of each request. */
    @Then("every request ran at most once")
    public void atMostOnce() {
        awaitAnswers();
        assertThat(countsByPath())
                .isNotEmpty()
                .allSatisfy((path, count) -> assertThat(count).isOne());
    }

    /** Stops an instance gracefully. */
    @When("instance {int} is stopped gracefully")
    public void stopInstance(int instance) {
        deployment.stop(instance).join();
    }

    private long arrivals(int target) {
        var report = deployment.target(target).log().report(false);
        return report.total() + report.refused();
    }

    private static Stream<Execution> executions() {
        return deployment.executions().stream();
    }

    private Map<String, Long> countsByPath() {
        return executions()
                .map(Execution::path)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }
}
