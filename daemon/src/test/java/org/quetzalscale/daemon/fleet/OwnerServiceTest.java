package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.TaskRef;

/**
 * Owners with an in-memory table and one worker, from the submission of a job to its recorded end.
 */
final class OwnerServiceTest extends OwnerFixture {
    /** Guards against a job that is shown as completed before its end is recorded, or never. */
    @Test
    void runsAJobOnceAndRecordsItsEnd() {
        Node node = new Node("node-1");
        submit();
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        assertThat(phase()).contains(JobPhase.QUEUED);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        worker.end(SECOND, RunEnd.DONE);

        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        await("acknowledgement", () -> worker.acknowledged() == 2);
        assertThat(worker.starts).hasSize(2);
        node.stop();
    }

    /**
     * Guards against a second run of a task that a killed owner had started or whose end it had
     * recorded.
     */
    @Test
    void continuesAfterTheOwnerWasKilled() {
        Node first = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        first.kill();

        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        await("recorded", () -> worker.acknowledged() == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        assertThat(worker.starts).hasSize(2);
        second.stop();
    }

    /** Guards against an end that is acknowledged while it cannot be recorded. */
    @Test
    void acknowledgesNothingWhileTheStoreIsUnavailable() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        table.unavailable = true;
        worker.end(FIRST, RunEnd.DONE);
        await("the next step starts nevertheless", () -> worker.startsOf(SECOND) == 1);
        assertThat(worker.acknowledged()).isZero();

        table.unavailable = false;
        await("acknowledgement", () -> worker.acknowledged() == 1);
        node.stop();
    }

    /**
     * Guards against a second run of a job that ended under an earlier owner: an owner reads all
     * jobs again when the table drops its history.
     */
    @Test
    void leavesEndedJobsAloneWhenTheHistoryIsDropped() {
        Node first = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        first.kill();
        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        JobId later = new JobId("00000000000000ab");
        submit(job(later));
        await("a later job", () -> worker.startsOf(new TaskRef(later, 0, 0, 0)) == 1);

        table.dropHistory();
        await("readers read all rows again", () -> table.refusedReaders > 0);
        JobId last = new JobId("00000000000000ac");
        submit(job(last));
        await("a job after that", () -> worker.startsOf(new TaskRef(last, 0, 0, 0)) == 1);

        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        second.stop();
    }

    /** Guards against a status for operators that is missing or differs from the owner's state. */
    @Test
    void showsOperatorsTheFleetAndAJob() {
        Node node = new Node("node-1");
        FleetStatus status =
                new FleetStatus(new InstanceId("node-1"), clock, node.policies, node.owner);
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);

        JsonNode fleet = onLoop(status::instance);
        assertThat(fleet.path("owner").asBoolean()).isTrue();
        assertThat(fleet.path("pools").get(0).path("tasks").asInt()).isEqualTo(1);
        assertThat(fleet.path("queues").get(0).path("running").asInt()).isEqualTo(1);
        JsonNode steps = onLoop(() -> status.job(JOB).orElseThrow()).path("steps");
        assertThat(steps.get(0).path("running").asInt()).isEqualTo(1);
        assertThat(steps.get(1).path("reason").asText()).isEqualTo("earlier_steps");
        node.stop();
        await("the end of the term", () -> !node.owner.isOwner());
        assertThat(onLoop(() -> status.job(JOB))).isEmpty();
    }

    /** Guards against waiting for a lease to expire that its owner has released. */
    @Test
    void ownsTheFleetSoonAfterAPlannedStop() {
        Node first = new Node("node-1");
        await("ownership", first.owner::isOwner);
        first.stop();

        Node second = new Node("node-2");
        long begun = clock.nowMillis();
        await("takeover", second.owner::isOwner);
        assertThat(clock.nowMillis() - begun).isLessThan(1_500);
        second.stop();
    }
}
