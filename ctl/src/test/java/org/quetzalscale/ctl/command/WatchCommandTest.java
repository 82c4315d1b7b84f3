package org.quetzalscale.ctl.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.ExitCode;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class WatchCommandTest {
    private final CtlHarness ctl = new CtlHarness();

    @BeforeEach
    void declare() {
        put("a", 1);
    }

    @AfterEach
    void stop() {
        ctl.close();
    }

    private void put(String name, int minAvailable) {
        ctl.server().put(Kind.POOLS, name, "{\"minAvailable\":" + minAvailable + "}");
    }

    private CompletableFuture<ExitCode> watch(int events) {
        CompletableFuture<ExitCode> end =
                CompletableFuture.supplyAsync(
                        () -> ctl.run("watch", "pools", "--events", Integer.toString(events)));
        awaitWatcher(end);
        return end;
    }

    private void awaitWatcher(CompletableFuture<ExitCode> end) {
        while (ctl.server().watcherCount() == 0) {
            assertThat(end.isDone()).as("watch ended early: %s", ctl.err()).isFalse();
            Thread.onSpinWait();
        }
    }

    @Test
    void showsWhatIsPresentAndThenChanges() {
        CompletableFuture<ExitCode> end = watch(3);
        put("a", 2);
        ctl.server().put(Kind.TEAMS, "other", "{\"share\":1,\"upperLimit\":1}");
        put("b", 3);
        assertThat(end.join()).isEqualTo(ExitCode.DONE);
        assertThat(ctl.out().lines())
                .containsExactly(
                        "present pools/a (revision 1) {\"minAvailable\":1,\"spare\":false}",
                        "put pools/a (revision 2) {\"minAvailable\":2,\"spare\":false}",
                        "put pools/b (revision 4) {\"minAvailable\":3,\"spare\":false}");
    }

    @Test
    void continuesFromItsLastRevisionAfterADisconnect() {
        CompletableFuture<ExitCode> end = watch(3);
        put("b", 1);
        ctl.server().disconnectWatchers();
        awaitWatcher(end);
        put("c", 1);
        assertThat(end.join()).isEqualTo(ExitCode.DONE);
        assertThat(ctl.out().lines().map(line -> line.split(" ")[1]))
                .containsExactly("pools/a", "pools/b", "pools/c");
        assertThat(ctl.err()).contains("continuing from revision 2");
    }

    /** Guards against a watcher that misses a deletion because its revision is no longer kept. */
    @Test
    void reportsARevisionThatIsTooOldAndTellsTheDifferences() {
        CompletableFuture<ExitCode> end = watch(3);
        ctl.server().changeUnseen("a", "b");
        assertThat(end.join()).isEqualTo(ExitCode.DONE);
        assertThat(ctl.out().lines().map(line -> line.split(" \\(")[0]))
                .containsExactly("present pools/a", "delete pools/a", "present pools/b");
        assertThat(ctl.err()).contains("revision 1 is too old to continue from; listing again");
    }

    @Test
    void endsAsNotReachableWhenNoServerIsHeard() {
        CompletableFuture<ExitCode> end = watch(3);
        ctl.server().stop();
        assertThat(end.join()).isEqualTo(ExitCode.UNREACHABLE);
    }
}
