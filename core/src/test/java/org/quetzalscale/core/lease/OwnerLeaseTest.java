package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.time.VirtualTime;

/** How long an owner may act, by the renewals of its lease and by what its siblings have read. */
final class OwnerLeaseTest {
    private static final int RENEW_INTERVAL_MILLIS = 350;
    private static final int OBSERVED_MILLIS = 30_000;
    private static final int STEP_MILLIS = 10;

    private final VirtualTime time = new VirtualTime();
    private final FaultyTable table = new FaultyTable(time);
    private final LeaseKeeper owner = keeper("a");
    private final LeaseKeeper sibling = keeper("b");

    private LeaseKeeper keeper(String name) {
        return new LeaseKeeper(
                table,
                LeaseKeeperTest.CODEC,
                "fleet",
                new InstanceId(name),
                time,
                new LeaseKeeper.Options(
                        TermValidity.DURATION_MILLIS,
                        holder -> false,
                        Optional.empty(),
                        () -> 0,
                        (outcome, detail) -> {}));
    }

    private TermValidity validityOf(LeaseKeeper keeper, String name) {
        return new TermValidity(
                new InstanceId(name),
                keeper.current().orElseThrow().generation(),
                keeper.confirmedMillis());
    }

    /** Guards against two owners that confirm each other (TWICE). */
    @Nested
    final class Takeovers {
        @Test
        void areKnownToTheNewOwnerBeforeItReadsTheLeaseAgain() {
            owner.tick();
            TermValidity former = validityOf(owner, "a");
            while (sibling.current().isEmpty()) {
                sibling.tick();
                time.advance(RENEW_INTERVAL_MILLIS);
            }
            LeaseRow seen = sibling.lastRead();
            LeaseView view = new LeaseView(false, seen.holder(), seen.renewals());
            former.siblingsAnswered(Optional.of(List.of(view)), time.nowMillis());

            assertThat(former.isValid(time.nowMillis())).isFalse();
            assertThat(former.isSuperseded(Optional.of(List.of(view)))).isTrue();
        }
    }

    /** Guards against an owner that stops acting although its renewals succeed. */
    @Nested
    final class SlowTables {
        @ParameterizedTest
        @ValueSource(longs = {100, 200, 300, 400, 450})
        void keepTheTermValid(long delayMillis) {
            owner.tick();
            TermValidity validity = validityOf(owner, "a");
            table.setDelayMillis(delayMillis);
            for (int elapsed = 0; elapsed < OBSERVED_MILLIS; elapsed += STEP_MILLIS) {
                if (elapsed % RENEW_INTERVAL_MILLIS == 0) {
                    owner.tick();
                    sibling.tick();
                }
                time.advance(STEP_MILLIS);
                validity.confirm(owner.confirmedMillis());

                assertThat(validity.isValid(time.nowMillis())).as("at %d ms", elapsed).isTrue();
            }
            assertThat(sibling.current()).isEmpty();
        }
    }
}
