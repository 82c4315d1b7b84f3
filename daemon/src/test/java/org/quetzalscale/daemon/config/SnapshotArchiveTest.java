package org.quetzalscale.daemon.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

class SnapshotArchiveTest {
    private static final PoolId POOL = new PoolId("lab");
    private static final List<Spec> SPECS =
            List.of(
                    new TeamSpec(0.1, 7),
                    new KeySpec(new TeamId("a"), "0f".repeat(32), true),
                    new PoolSpec(3, true),
                    new WorkerSpec(
                            POOL,
                            "10.0.0.1:80",
                            new ZoneId("z1"),
                            new RackId("r1"),
                            8,
                            64,
                            32,
                            131_072,
                            1,
                            true),
                    new QueueSpec(POOL, true, 60_000, 5, QueueSpec.DEFAULT_IDEMPOTENT_METHODS),
                    new WaveSpec(List.of(POOL), WaveAction.REPLACE, 2, true, false, 0.25),
                    new DeploymentSpec(1, 0.5, 0, 2),
                    new AssignmentSpec(POOL, WorkerPhase.REBOOTING, "wave-1"));

    private final AtomicLong nowMillis = new AtomicLong();
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final SnapshotArchive archive = new SnapshotArchive(objects, nowMillis::get);

    private static ConfigSnapshot snapshot(int revision) {
        ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
        while (snapshot.revision().value() < revision) {
            Revision next = snapshot.revision().next();
            Spec spec = SPECS.get((int) (next.value() % SPECS.size()));
            snapshot = snapshot.apply(new Change(next, spec.kind(), "n", Optional.of(spec)));
        }
        return snapshot;
    }

    private long loaded() {
        return archive.load()
                .toCompletableFuture()
                .join()
                .map(found -> found.revision().value())
                .orElse(-1L);
    }

    @Test
    void storesAfterEnoughRevisionsOrEnoughTime() {
        archive.storeIfDue(() -> snapshot(99));
        assertThat(loaded()).isEqualTo(-1);
        archive.storeIfDue(() -> snapshot(100));
        assertThat(loaded()).isEqualTo(100);
        archive.storeIfDue(() -> snapshot(101));
        assertThat(loaded()).isEqualTo(100);
        nowMillis.addAndGet(60_000);
        archive.storeIfDue(() -> snapshot(101));
        assertThat(loaded()).isEqualTo(101);
    }

    // A truncated object must not prevent an instance from starting from an older one.
    @Test
    void readsTheHighestSnapshotThatIsWhole() {
        objects.put("config/snapshot/0", SnapshotJson.write(snapshot(5)));
        objects.put("config/snapshot/1", SnapshotJson.write(snapshot(4)));
        objects.put("config/snapshot/2", "{\"revision\":9,".getBytes(StandardCharsets.UTF_8));
        assertThat(loaded()).isEqualTo(5);
    }

    @Test
    void keepsEveryKindOfResource() {
        ConfigSnapshot snapshot = snapshot(SPECS.size());
        ConfigSnapshot read = SnapshotJson.read(SnapshotJson.write(snapshot));
        for (Spec spec : SPECS) {
            assertThat(read.all(spec.kind())).isEqualTo(snapshot.all(spec.kind())).isNotEmpty();
        }
    }
}
