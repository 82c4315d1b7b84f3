package org.quetzalscale.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.time.VirtualTime;

class MachineRegistryTest {
    private static final long LAG_MILLIS = 1000;
    private static final long GONE_AFTER_MILLIS = 5000;
    private static final long PROCESS = 42;
    private static final Member ENTRY =
            new Member(
                    "entry-1",
                    MemberRole.ENTRY,
                    new ZoneId("zone-1"),
                    "127.0.0.1:1",
                    MemberState.LIVE);

    private final VirtualTime time = new VirtualTime();
    private final Map<Long, String> processes = new HashMap<>(Map.of(PROCESS, "first"));
    private final MachineRegistry registry =
            new MachineRegistry(
                    time,
                    id -> Optional.ofNullable(processes.get(id)),
                    LAG_MILLIS,
                    GONE_AFTER_MILLIS);

    @BeforeEach
    void register() {
        registry.register(ENTRY, PROCESS);
        time.advance(LAG_MILLIS);
    }

    private List<MemberState> listed() {
        return registry.list(MemberRole.ENTRY).stream().map(Member::state).toList();
    }

    @Test
    void showsEachStateAfterTheLag() {
        assertThat(listed()).containsExactly(MemberState.LIVE);
        registry.leave(MemberRole.ENTRY, "entry-1");
        time.advance(LAG_MILLIS - 1);
        assertThat(listed()).containsExactly(MemberState.LIVE);
        time.advance(1);
        assertThat(listed()).containsExactly(MemberState.LEAVING);
    }

    @Test
    void isGoneOnlyAfterItsProcessWasMissingForTheWholeTime() {
        processes.clear();
        assertThat(registry.detectGone()).isEmpty();
        time.advance(GONE_AFTER_MILLIS - 1);
        assertThat(registry.detectGone()).isEmpty();
        time.advance(1);
        assertThat(registry.detectGone()).hasSize(1);
        assertThat(registry.detectGone()).isEmpty();
        time.advance(LAG_MILLIS);
        assertThat(listed()).containsExactly(MemberState.GONE);
    }

    /** Guards against taking an unrelated process with a reused id for the machine's own. */
    @Test
    void isGoneWhenAnotherProcessHasItsId() {
        processes.put(PROCESS, "second");
        registry.detectGone();
        time.advance(GONE_AFTER_MILLIS);
        assertThat(registry.detectGone()).hasSize(1);
    }

    @Test
    void keepsItsNameWhenItsProcessRestartsInTime() {
        processes.clear();
        registry.detectGone();
        time.advance(GONE_AFTER_MILLIS - 1);
        processes.put(PROCESS + 1, "restarted");
        registry.register(ENTRY, PROCESS + 1);
        time.advance(GONE_AFTER_MILLIS);
        assertThat(registry.detectGone()).isEmpty();
    }

    /** Guards against two processes that use the units of one holder. */
    @Test
    void refusesANameThatIsInUseOrGone() {
        processes.put(PROCESS + 1, "other");
        assertThatThrownBy(() -> registry.register(ENTRY, PROCESS + 1))
                .isInstanceOf(QuetzalscaleException.class)
                .hasMessageContaining("still runs");
        registry.lose(MemberRole.ENTRY, "entry-1");
        assertThatThrownBy(() -> registry.register(ENTRY, PROCESS + 1))
                .isInstanceOf(QuetzalscaleException.class)
                .hasMessageContaining("gone");
    }

    /** Guards against a frozen list that shows a change of the millisecond in which it froze. */
    @Test
    void hidesChangesOfTheMillisecondInWhichItFroze() {
        MachineRegistry withoutLag =
                new MachineRegistry(
                        time, id -> Optional.ofNullable(processes.get(id)), 0, GONE_AFTER_MILLIS);
        withoutLag.register(ENTRY, PROCESS);
        withoutLag.freeze(true);
        withoutLag.leave(MemberRole.ENTRY, "entry-1");

        assertThat(withoutLag.list(MemberRole.ENTRY))
                .extracting(Member::state)
                .containsExactly(MemberState.LIVE);
    }

    @Test
    void showsChangesMadeWhileFrozenOnlyAfterwards() {
        registry.freeze(true);
        registry.leave(MemberRole.ENTRY, "entry-1");
        time.advance(10 * LAG_MILLIS);
        assertThat(listed()).containsExactly(MemberState.LIVE);
        registry.freeze(false);
        assertThat(listed()).containsExactly(MemberState.LEAVING);
    }
}
