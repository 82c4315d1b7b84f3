package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.StepProgress;
import org.quetzalscale.core.task.TaskRef;

/** Owners whose rows are written late, or cannot be read. */
final class OwnerRowsTest extends OwnerFixture {
    /**
     * Guards against an older record that overwrites a newer one: a write without an answer may be
     * carried out later, and the next owner would start again what is done.
     */
    @Test
    void keepsTheNewestRecordWhenAWriteIsLate() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        table.holdNext("progress/");
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        await("first end recorded", () -> worker.acknowledged() == 1);
        worker.end(SECOND, RunEnd.DONE);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));

        table.releaseHeld();

        assertThat(phase()).contains(JobPhase.COMPLETED);
        node.stop();
    }

    /**
     * Guards against a completed wave that is shown as open for ever, and from which the next owner
     * would begin again, because an older record without an answer was carried out after the last
     * one.
     */
    @Test
    void keepsTheNewestRecordOfAWaveWhenAWriteIsLate() {
        table.put("op//wave/1", "wave");
        table.holdNext(FleetRows.wave(1).value());
        instances.idle = Optional.of(IDLE_INSTANCE);
        Node node = new Node("node-1");
        await("second record", () -> textOf("status//wave/1").equals(Optional.of("open")));
        instances.idle = Optional.empty();
        await("completion", () -> textOf("status//wave/1").equals(Optional.of("completed")));

        run(table::releaseHeld);
        onLoop(() -> true);

        assertThat(textOf("status//wave/1")).contains("completed");
        assertThat(textOf(FleetRows.wave(1).value())).contains("[\"m-2\"]");
        node.stop();
    }

    /**
     * Guards against a number of waiting jobs that stays wrong until it changes again, because an
     * older one was written after it.
     */
    @Test
    void keepsTheNewestNumberOfWaitingJobsWhenAWriteIsLate() {
        table.holdNext(FleetRows.WAITING.value());
        Node node = new Node("node-1");
        await("second record", () -> textOf(FleetRows.WAITING.value()).isPresent());
        StepDefinition tooLarge = Steps.ending(1, 100, List.of());
        submit(job(JOB, List.of(tooLarge)));
        await("record", () -> textOf(FleetRows.WAITING.value()).equals(ONE_WAITING));

        run(table::releaseHeld);
        onLoop(() -> true);

        assertThat(textOf(FleetRows.WAITING.value())).isEqualTo(ONE_WAITING);
        node.stop();
    }

    private Optional<String> textOf(String key) {
        return table.read(new RowKey(key)).toCompletableFuture().join().map(Row::value);
    }

    /**
     * Guards against an owner that loads forever or stops reading because of one row: a record of a
     * task that its job does not have, and a job that cannot be read.
     */
    @Test
    void servesOtherJobsBesideRowsThatCannotBeApplied() {
        JobId broken = new JobId("00000000000000ad");
        submit(job(broken));
        table.put(
                FleetRows.progress(broken).value(),
                JobRowCodecs.PROGRESS.encode(
                        new JobProgress(
                                broken,
                                JobPhase.RUNNING,
                                List.of(
                                        new StepProgress(
                                                0,
                                                0,
                                                new BitSet(),
                                                Map.of(9, Set.of(1L)),
                                                Map.of(),
                                                Map.of())))));
        Node node = new Node("node-1");
        submit();
        await("a job beside the broken record", () -> worker.startsOf(FIRST) == 1);

        table.put(FleetRows.job(new JobId("00000000000000ae")).value(), "not a job");
        JobId later = new JobId("00000000000000af");
        submit(job(later));
        await("a job after it", () -> worker.startsOf(new TaskRef(later, 0, 0, 0)) == 1);
        node.stop();
    }

    /** A job whose first step is done and recorded, and whose second step runs. */
    private void runToTheSecondStep() {
        Node node = new Node("node-1");
        submit();
        await("first step", () -> worker.startsOf(FIRST) == 1);
        worker.end(FIRST, RunEnd.DONE);
        await("second step", () -> worker.startsOf(SECOND) == 1);
        await("recorded", () -> worker.acknowledged() == 1);
        node.kill();
    }

    private String progressRow() {
        return table.read(FleetRows.progress(JOB))
                .toCompletableFuture()
                .join()
                .orElseThrow()
                .value();
    }

    /** Awaits the start of a job that was recorded before the owner's term, and of a new one. */
    private void awaitOtherJobs(String recorded, String added) {
        await("a recorded job", () -> worker.startsOf(firstTask(recorded)) == 1);
        submit(job(new JobId(added)));
        await("a new job", () -> worker.startsOf(firstTask(added)) == 1);
    }

    private static TaskRef firstTask(String job) {
        return new TaskRef(new JobId(job), 0, 0, 0);
    }

    /**
     * Guards against the repetition of work that has run: a job whose record cannot be read looks
     * like a new one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"id\":\"00000000000000aa\"",
                "{\"id\":\"00000000000000aa\",\"phase\":\"QUEUED\"}",
                "{\"id\":\"00000000000000ff\",\"phase\":\"QUEUED\",\"steps\":[]}",
                "{\"id\":\"00000000000000aa\",\"phase\":\"QUEUED\","
                        + "\"steps\":[{\"done\":[],\"failures\":{\"9\":[1]}}]}"
            })
    void holdsAJobWhoseProgressCannotBeRead(String text) {
        runToTheSecondStep();
        table.put(FleetRows.progress(JOB).value(), text);
        submit(job(new JobId("00000000000000b0")));
        Node second = new Node("node-2");
        awaitOtherJobs("00000000000000b0", "00000000000000b1");
        table.dropHistory();
        await("readers read all rows again", () -> table.refusedReaders > 0);
        submit(job(new JobId("00000000000000b2")));
        await("a later job", () -> worker.startsOf(firstTask("00000000000000b2")) == 1);

        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        assertThat(worker.startsOf(SECOND)).isEqualTo(1);
        FleetStatus status =
                new FleetStatus(new InstanceId("node-2"), clock, second.policies, second.owner);
        assertThat(onLoop(() -> status.job(JOB).orElseThrow()).path("steps").get(0).path("reason"))
                .hasToString("\"progress_unreadable\"");
        second.stop();
    }

    /**
     * Guards against a repaired record that is ignored or was overwritten, and against the loss of
     * ends that workers reported before the repair.
     */
    @Test
    void continuesAJobWhoseProgressWasRepaired() {
        runToTheSecondStep();
        String recorded = progressRow();
        table.put(FleetRows.progress(JOB).value(), "");
        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        worker.end(SECOND, RunEnd.DONE);
        await("recorded", () -> worker.acknowledged() == 2);
        assertThat(progressRow()).isEmpty();
        assertThatThrownBy(this::phase).hasMessageContaining(FleetRows.progress(JOB).value());
        table.put(FleetRows.progress(JOB).value(), recorded);
        second.stop();

        submit(job(new JobId("00000000000000b0")));
        Node third = new Node("node-3");
        awaitOtherJobs("00000000000000b0", "00000000000000b1");
        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        assertThat(worker.startsOf(SECOND)).isEqualTo(1);
        await("completion", () -> phase().equals(Optional.of(JobPhase.COMPLETED)));
        third.stop();
    }

    /**
     * Guards against the loss of ends that an owner recorded while the record of progress did not
     * fit the job.
     */
    @Test
    void keepsWhatWasRecordedBesideARecordThatDoesNotFit() {
        runToTheSecondStep();
        table.put(
                FleetRows.progress(JOB).value(),
                "{\"id\":\"00000000000000aa\",\"phase\":\"QUEUED\","
                        + "\"steps\":[{\"done\":[],\"failures\":{\"9\":[1]}}]}");
        Node second = new Node("node-2");
        await("takeover", second.owner::isOwner);
        worker.end(SECOND, RunEnd.DONE);
        await("recorded", () -> worker.acknowledged() == 2);
        second.stop();

        submit(job(new JobId("00000000000000b0")));
        Node third = new Node("node-3");
        await("a recorded job", () -> worker.startsOf(firstTask("00000000000000b0")) == 1);
        FleetStatus status =
                new FleetStatus(new InstanceId("node-3"), clock, third.policies, third.owner);
        assertThat(onLoop(() -> status.job(JOB).orElseThrow()).path("steps").get(1).path("done"))
                .hasToString("1");
        third.stop();
    }

    /**
     * Guards against jobs that are lost in a rolling upgrade: an earlier release accepted them in
     * the partition of the owner, some with a cancellation there.
     */
    @Test
    void servesJobsThatAnEarlierReleaseAccepted() {
        JobId cancelled = new JobId("00000000000000b4");
        for (JobId id : List.of(JOB, cancelled)) {
            table.put(
                    FleetRows.jobOfEarlierRelease(id).value(),
                    JobRowCodecs.DEFINITION.encode(job(id)));
        }
        assertThat(phase()).contains(JobPhase.QUEUED);
        assertThat(
                        gateway.cancel(cancelled, clock.nowMillis() + 1_000)
                                .toCompletableFuture()
                                .join())
                .isTrue();
        Node node = new Node("node-1");
        await("a recorded job", () -> worker.startsOf(FIRST) == 1);
        submit();
        JobId later = new JobId("00000000000000b3");
        table.put(
                FleetRows.jobOfEarlierRelease(later).value(),
                JobRowCodecs.DEFINITION.encode(job(later)));
        await("a job after it", () -> worker.startsOf(new TaskRef(later, 0, 0, 0)) == 1);

        assertThat(worker.startsOf(FIRST)).isEqualTo(1);
        assertThat(worker.startsOf(new TaskRef(cancelled, 0, 0, 0))).isZero();
        node.stop();
    }
}
