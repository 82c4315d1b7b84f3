package org.quetzalscale.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.limit.Block;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableFault;
import org.quetzalscale.core.table.Transaction;

class ConfigStoreTest {
    private final ScriptedTable table = new ScriptedTable();
    private final ConfigCodecs codecs = new ConfigCodecs(new MemoryCodec<>(), new MemoryCodec<>());
    private final ConfigStore store = store("first");
    private final ConfigStore other = store("second");

    /** Encodes an object as a reference to memory, because core has no JSON codec. */
    private static final class MemoryCodec<T> implements RowCodec<T> {
        private final List<T> values = new ArrayList<>();

        @Override
        public String encode(T value) {
            values.add(value);
            return Integer.toString(values.size() - 1);
        }

        @Override
        public T decode(String text) {
            return values.get(Integer.parseInt(text));
        }
    }

    private ConfigStore store(String name) {
        int[] count = new int[1];
        return new ConfigStore(table, codecs, () -> name + count[0]++);
    }

    private static <T> T join(java.util.concurrent.CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private List<Change> write(ResourceEdit edit) {
        return join(store.write(ConfigSnapshot.EMPTY, ConfigWrite.of(edit)));
    }

    private void expect(ErrorKind kind, ResourceEdit edit) {
        assertThatThrownBy(() -> write(edit))
                .isInstanceOf(CompletionException.class)
                .cause()
                .isInstanceOfSatisfying(
                        QuetzalscaleException.class, e -> assertThat(e.kind()).isEqualTo(kind));
    }

    private ConfigSnapshot load() {
        return join(store.reader().load());
    }

    private LimitRow limit(String team) {
        Row row = join(table.faulty.actual().read(new RowKey("limit/" + team))).orElseThrow();
        return codecs.limit().decode(row.value());
    }

    private static ResourceEdit team(String name, int limit) {
        return ResourceEdit.create(name, new TeamSpec(1, limit));
    }

    private static ResourceEdit worker(String name, String address) {
        Spec spec =
                new WorkerSpec(
                        new PoolId("lab"),
                        address,
                        new ZoneId("z1"),
                        new RackId("r1"),
                        8,
                        64,
                        64,
                        1024,
                        0,
                        false);
        return ResourceEdit.create(name, spec);
    }

    @Nested
    class LostAnswers {
        @Test
        void areReadBack() {
            table.faulty.failCommits(TableFault.LOSE_ANSWER);
            assertThat(write(team("a", 5)).get(0).revision()).isEqualTo(new Revision(1));
            assertThat(load().revision()).isEqualTo(new Revision(1));
        }

        @Test
        void ofWritesThatNeverArrivedLeadToARetry() {
            table.faulty.failCommits(TableFault.LOSE_REQUEST);
            write(team("a", 5));
            assertThat(load().revision()).isEqualTo(new Revision(1));
        }

        // The first attempt arrives late, so the second one conflicts with it.
        @Test
        void ofWritesThatArriveLateAreNotAcceptedTwice() {
            table.delayNextCommit();
            assertThat(write(team("a", 5))).hasSize(1);
            assertThat(load().revision()).isEqualTo(new Revision(1));
        }

        @Test
        void areNotTakenForAnotherWritersChange() {
            table.faulty.failCommits(TableFault.LOSE_REQUEST);
            table.beforeCommit =
                    () -> join(other.write(ConfigSnapshot.EMPTY, ConfigWrite.of(team("b", 1))));
            write(team("a", 5));
            assertThat(load().revision()).isEqualTo(new Revision(2));
            assertThat(load().all(Kind.TEAMS)).containsOnlyKeys("a", "b");
        }

        @Test
        void areReportedIfTheTableCanNotBeRead() {
            table.faulty.failCommits(TableFault.LOSE_ANSWER);
            table.beforeCommit = () -> table.faulty.failReads(TableFault.DOWN);
            expect(ErrorKind.STORE_OUTCOME_UNKNOWN, team("a", 5));
        }
    }

    // A write that returned is applied exactly once and in order, whichever commits fail.
    @Property(tries = 300, seed = "12")
    void neverLoseOrRepeatAnAcceptedWrite(@ForAll @Size(max = 30) List<TableFault> faults) {
        ConfigStoreTest fresh = new ConfigStoreTest();
        fresh.table.faulty.failCommits(faults.toArray(TableFault[]::new));
        long highest = 0;
        for (int i = 0; i < 10; i++) {
            String name = "t" + i;
            try {
                highest = fresh.write(team(name, i)).get(0).revision().value();
            } catch (CompletionException e) {
                assertThat(QuetzalscaleException.from(e).kind())
                        .isIn(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_OUTCOME_UNKNOWN);
                continue;
            }
            assertThat(fresh.load().find(Kind.TEAMS, name).orElseThrow().revision().value())
                    .isEqualTo(highest);
        }
        assertThat(fresh.load().all(Kind.TEAMS).size())
                .isEqualTo((int) fresh.load().revision().value());
    }

    @Nested
    class Conflicts {
        @Test
        void withAnotherResourceAreResolved() {
            table.beforeCommit =
                    () -> join(other.write(ConfigSnapshot.EMPTY, ConfigWrite.of(team("b", 1))));
            assertThat(write(team("a", 5)).get(0).revision()).isEqualTo(new Revision(2));
        }

        @Test
        void onOneResourceAreReportedToTheSecondWriter() {
            write(team("a", 5));
            Optional<Revision> seen = Optional.of(new Revision(1));
            ResourceEdit edit = ResourceEdit.replace("a", new TeamSpec(1, 6), seen);
            table.beforeCommit =
                    () -> join(other.write(ConfigSnapshot.EMPTY, ConfigWrite.of(edit)));
            expect(ErrorKind.VERSION_CONFLICT, edit);
            expect(ErrorKind.RESOURCE_EXISTS, team("a", 5));
            expect(
                    ErrorKind.RESOURCE_UNKNOWN,
                    ResourceEdit.delete(Kind.TEAMS, "none", Optional.empty()));
        }

        @Test
        void withAnAddedConditionEndTheWrite() {
            Transaction extra =
                    Transaction.builder()
                            .require(new Condition(new RowKey("lease/waves/epoch"), 7))
                            .build();
            ConfigWrite write = new ConfigWrite(List.of(team("a", 5)), extra);
            assertThatThrownBy(() -> join(store.write(ConfigSnapshot.EMPTY, write)))
                    .hasRootCauseMessage("row lease/waves/epoch changed since it was read");
            assertThat(load().revision()).isEqualTo(Revision.NONE);
        }
    }

    @Nested
    class Rules {
        @Test
        void requireReferencedResources() {
            expect(
                    ErrorKind.INVALID_FIELD,
                    ResourceEdit.create(
                            "k", new KeySpec(new TeamId("none"), "0".repeat(64), false)));
            expect(ErrorKind.INVALID_FIELD, worker("w1", "10.0.0.1:80"));
        }

        @Test
        void keepAWorkerInExactlyOnePool() {
            write(ResourceEdit.create("lab", new PoolSpec(1, false)));
            assertThat(write(worker("w1", "10.0.0.1:80"))).hasSize(2);
            assertThat(load().assignment(new WorkerId("w1")).orElseThrow().phase())
                    .isEqualTo(WorkerPhase.ACTIVE);
            expect(ErrorKind.INVALID_FIELD, worker("w2", "10.0.0.1:80"));
            expect(
                    ErrorKind.INVALID_STATE,
                    ResourceEdit.delete(Kind.POOLS, "lab", Optional.empty()));
            expect(
                    ErrorKind.BUDGET_EXHAUSTED,
                    ResourceEdit.delete(Kind.WORKERS, "w1", Optional.empty()));
            write(worker("w2", "10.0.0.2:80"));
            write(ResourceEdit.delete(Kind.WORKERS, "w1", Optional.empty()));
            assertThat(load().all(Kind.ASSIGNMENTS)).containsOnlyKeys("w2");
        }

        @Test
        void keepTheBlocksOfATeamWhenItsLimitChanges() {
            write(team("a", 5));
            Row row = join(table.faulty.actual().read(new RowKey("limit/a"))).orElseThrow();
            LimitRow dealt = limit("a").withBlock("e1", new Block(4, 4));
            join(
                    table.faulty
                            .actual()
                            .commit(
                                    Transaction.builder()
                                            .replace(row, codecs.limit().encode(dealt))
                                            .build()));
            write(ResourceEdit.replace("a", new TeamSpec(1, 2), Optional.empty()));
            assertThat(limit("a")).isEqualTo(dealt.withLimit(2));
            write(ResourceEdit.delete(Kind.TEAMS, "a", Optional.empty()));
            assertThat(limit("a").granted()).isEqualTo(4);
        }
    }

    @Nested
    class Records {
        @Test
        void areKeptForTheLatestChangesOnly() {
            write(team("a", 5));
            ConfigSnapshot base = load();
            int writes = ConfigStore.KEPT_CHANGES + 4;
            for (int i = 0; i < writes; i++) {
                ResourceEdit edit = ResourceEdit.replace("a", new TeamSpec(1, i), Optional.empty());
                List<Change> changes = join(store.write(base, ConfigWrite.of(edit)));
                base = base.apply(changes.get(0));
            }
            assertThat(join(table.faulty.actual().scan("change/")))
                    .hasSize(ConfigStore.KEPT_CHANGES);
            assertThat(join(store.reader().advance(ConfigSnapshot.EMPTY, base.revision())))
                    .satisfies(
                            loaded ->
                                    assertThat(loaded.find(Kind.TEAMS, "a"))
                                            .contains(
                                                    new Versioned(
                                                            new Revision(writes + 1),
                                                            new TeamSpec(1, writes - 1))));
        }
    }
}
