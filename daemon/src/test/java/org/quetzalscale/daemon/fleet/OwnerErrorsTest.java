package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.time.TimeSource;

/** Owners whose reader of the jobs meets what it does not expect. */
final class OwnerErrorsTest extends OwnerFixture {
    private static final JobId LATER_JOB = new JobId("00000000000000ab");
    private static final TaskRef LATER_TASK = new TaskRef(LATER_JOB, 0, 0, 0);
    private static final JobId LAST_JOB = new JobId("00000000000000ac");
    private static final TaskRef LAST_TASK = new TaskRef(LAST_JOB, 0, 0, 0);

    private final AtomicBoolean unexpectedChanges = new AtomicBoolean();
    private final AtomicBoolean silent = new AtomicBoolean();
    private final AtomicBoolean outOfMemory = new AtomicBoolean();
    private final List<Error> errors = Collections.synchronizedList(new ArrayList<>());

    private final class JobFeed extends ForwardingTable {
        JobFeed() {
            super(table);
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            if (name.equals(FleetRows.JOBS) && unexpectedChanges.getAndSet(false)) {
                return CompletableFuture.completedFuture(null);
            }
            if (name.equals(FleetRows.JOBS) && outOfMemory.getAndSet(false)) {
                throw new OutOfMemoryError("in the callback that asks for the next changes");
            }
            if (name.equals(FleetRows.JOBS) && silent.get()) {
                return new CompletableFuture<>();
            }
            return super.changesAfter(name, version, waitMillis);
        }
    }

    @Override
    FleetContext context(String name) {
        FleetContext context = super.context(name);
        LoopClock ownerClock =
                new LoopClock(
                        clock.loop(), TimeSource.system(), System::currentTimeMillis, errors::add);
        return new FleetContext(
                context.self(),
                ownerClock,
                new JobFeed(),
                context.calls(),
                context.workers(),
                context.instances(),
                context.waveStatus(),
                context.times(),
                context.metrics());
    }

    private void runFirstJob() {
        submit();
        await("the first job", () -> worker.startsOf(FIRST) == 1);
    }

    /** Guards against an owner that keeps its lease and reads no job any more (LOST). */
    @Test
    void goesOnReadingJobsAfterAnException() {
        Node node = new Node("node-1");
        runFirstJob();
        unexpectedChanges.set(true);
        await("the exception", () -> !unexpectedChanges.get());
        submit(job(LATER_JOB));

        await("a later job", () -> worker.startsOf(LATER_TASK) == 1);
        node.stop();
    }

    /** Guards against a process without memory that goes on renewing its lease (LOST). */
    @Test
    void reportsAnErrorThatIsNoException() {
        Node node = new Node("node-1");
        runFirstJob();
        outOfMemory.set(true);

        await("the error", () -> !errors.isEmpty());
        assertThat(errors.get(0)).isInstanceOf(OutOfMemoryError.class);
        node.stop();
    }

    /** Guards against an owner whose reader stops for a reason that no test knows (LOST). */
    @Test
    void leavesTheFleetToAnotherInstanceIfItsReaderStops() {
        Node first = new Node("node-1");
        runFirstJob();
        long fence = fenceOf(first);
        silent.set(true);
        submit(job(LATER_JOB));
        submit(job(LAST_JOB));
        await("the end of the term", () -> fenceOf(first) != fence);
        silent.set(false);
        first.kill();

        Node second = new Node("node-2");
        await("the takeover", () -> worker.startsOf(LAST_TASK) == 1);
        second.stop();
    }

    /** The fence of the node's term, which no other term has; 0 if it is not the owner. */
    private long fenceOf(Node node) {
        return onLoop(() -> node.owner.term().map(OwnerTerm::fence).orElse(0L));
    }
}
