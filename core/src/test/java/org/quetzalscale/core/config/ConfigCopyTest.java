package org.quetzalscale.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;

class ConfigCopyTest {
    private static Change change(int revision) {
        return new Change(
                new Revision(revision), Kind.TEAMS, "a", Optional.of(new TeamSpec(1, revision)));
    }

    private static ConfigSnapshot snapshot(int revision) {
        ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
        for (int next = 1; next <= revision; next++) {
            snapshot = snapshot.apply(change(next));
        }
        return snapshot;
    }

    @Provide
    Arbitrary<List<Integer>> orders() {
        List<Integer> all = IntStream.rangeClosed(1, 20).boxed().toList();
        return Arbitraries.shuffle(all);
    }

    @Property(tries = 200, seed = "5")
    void appliesChangesInRisingOrderHoweverTheyArrive(@ForAll("orders") List<Integer> order) {
        ConfigCopy copy = new ConfigCopy();
        Revision last = Revision.NONE;
        for (int revision : order) {
            for (Change applied : copy.offer(change(revision))) {
                assertThat(applied.revision()).isEqualTo(last.next());
                last = applied.revision();
            }
            assertThat(copy.offer(change(revision))).isEmpty();
        }
        assertThat(copy.revision()).isEqualTo(new Revision(20));
    }

    @Test
    void ignoresAnOldSnapshotAndAppliesWhatWaitedForANewOne() {
        ConfigCopy copy = new ConfigCopy();
        copy.offer(snapshot(3));
        assertThat(copy.offer(snapshot(2))).isFalse();
        copy.offer(change(7));
        assertThat(copy.offer(snapshot(6))).isTrue();
        assertThat(copy.revision()).isEqualTo(new Revision(7));
    }

    @Test
    void tellsWhenChangesAreNotKept() {
        ConfigCopy copy = new ConfigCopy();
        copy.offer(snapshot(3));
        copy.offer(change(4));
        assertThat(copy.changesAfter(new Revision(2))).isEmpty();
        assertThat(copy.changesAfter(new Revision(3))).contains(List.of(change(4)));
        assertThat(copy.changesAfter(new Revision(4))).contains(List.of());
    }
}
