package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.InMemoryTable;

/** Tests what on-call can learn of an acquisition without an answer. */
class AcquisitionListenerTest {
    private final List<String> heard = new ArrayList<>();
    private final InMemoryTable table = new InMemoryTable();
    private final DelayingTable connection = new DelayingTable(table);
    private final LeaseKeeper keeper =
            new LeaseKeeper(
                    connection,
                    LeaseKeeperTest.CODEC,
                    "jobs",
                    new InstanceId("instance-1"),
                    () -> 0,
                    new LeaseKeeper.Options(
                            LeaseKeeper.LEASE_MILLIS,
                            holder -> false,
                            Optional.empty(),
                            () -> 0,
                            (outcome, detail) -> heard.add(outcome + " " + detail)));

    private final LeaseKeeper second =
            new LeaseKeeper(
                    table, LeaseKeeperTest.CODEC, "jobs", new InstanceId("instance-2"), () -> 0);

    /** Guards against log lines about acquisitions that were answered. */
    @Test
    void hearsNothingOfAnsweredAcquisitions() {
        keeper.tick();
        keeper.release();
        second.tick();
        keeper.tick();

        assertThat(heard).isEmpty();
    }

    /** Guards against a gap between owners whose cause the log does not tell. */
    @Test
    void hearsThatAnAcquisitionWasCarriedOut() {
        connection.failCommits(DelayingTable.Fault.ANSWER_LOST);
        keeper.tick();
        keeper.tick();

        assertThat(heard).containsExactly("UNANSWERED no answer", "COMMITTED instance-1");
    }

    /** Guards against an acquisition that is reported as carried out and was not. */
    @Test
    void hearsThatALaterAcquisitionReplacedIt() {
        connection.failCommits(DelayingTable.Fault.LATE);
        keeper.tick();
        keeper.tick();
        connection.carryOutPending();
        keeper.tick();

        assertThat(heard).containsExactly("UNANSWERED no answer", "REPLACED instance-1");
    }

    /** Guards against an outcome that is never reported because another instance was faster. */
    @Test
    void hearsThatAnotherInstanceHasTheLease() {
        connection.failCommits(DelayingTable.Fault.LATE);
        keeper.tick();
        second.tick();
        keeper.tick();

        assertThat(heard).containsExactly("UNANSWERED no answer", "OVERTAKEN instance-2");
    }
}
