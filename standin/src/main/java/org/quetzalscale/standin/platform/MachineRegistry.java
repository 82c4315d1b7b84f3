package org.quetzalscale.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.time.TimeSource;

/**
 * The machines and the list of them, which lags and can be frozen. A machine whose process ended is
 * GONE after a while and its name is never accepted again, as users of the list rely on.
 */
public final class MachineRegistry {
    private static final long KEEP_GONE_MILLIS = 3_600_000;
    private static final long NOT_FROZEN = Long.MAX_VALUE;

    private final Map<String, Machine> machines = new TreeMap<>();
    private final TimeSource time;
    private final ProcessProbe probe;
    private final long lagMillis;
    private final long goneAfterMillis;
    private long frozenAtMillis = NOT_FROZEN;

    /** Changes after this version are not listed while the list is frozen. */
    private long frozenVersion = NOT_FROZEN;

    private long lastVersion;

    /**
     * Creates an empty registry.
     *
     * @param lagMillis time by which the list lags
     * @param goneAfterMillis time from the end of a process until its machine is GONE
     */
    public MachineRegistry(
            TimeSource time, ProcessProbe probe, long lagMillis, long goneAfterMillis) {
        this.time = time;
        this.probe = probe;
        this.lagMillis = lagMillis;
        this.goneAfterMillis = goneAfterMillis;
    }

    /**
     * Registers a machine as LIVE, or again after its process restarted.
     *
     * @param processId id of its process, or 0 if the machine is never to be GONE by itself
     * @throws QuetzalscaleException INVALID_STATE if the name belongs to a machine that is GONE or
     *     whose other process still runs; INVALID_FIELD if there is no such process
     */
    public synchronized void register(Member member, long processId) {
        Machine known = machines.get(keyOf(member));
        if (known != null) {
            requireFree(known, processId);
            if (known.latest().state() == MemberState.LEAVING && known.processId() == processId) {
                // A registration that was overtaken by the same process's report of its end.
                return;
            }
        }
        String identity = processId == 0 ? "" : probe.identityOf(processId).orElse(null);
        if (identity == null) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD, "processId", "process " + processId + " does not run");
        }
        machines.computeIfAbsent(keyOf(member), key -> new Machine())
                .register(member, processId, identity, time.nowMillis(), ++lastVersion);
    }

    /** Reports a machine as being in graceful shutdown. */
    public synchronized void leave(MemberRole role, String name) {
        require(role, name).moveTo(MemberState.LEAVING, time.nowMillis(), ++lastVersion);
    }

    /** Reports a machine as terminated. */
    public synchronized void lose(MemberRole role, String name) {
        require(role, name).moveTo(MemberState.GONE, time.nowMillis(), ++lastVersion);
    }

    /** Marks machines whose process ended as GONE; returns those that became so now. */
    public synchronized List<Member> detectGone() {
        long nowMillis = time.nowMillis();
        List<Member> gone = new ArrayList<>();
        for (Machine machine : machines.values()) {
            long missingMillis = machine.missingMillis(probe, nowMillis);
            if (machine.latest().state() != MemberState.GONE
                    && missingMillis > 0
                    && missingMillis >= goneAfterMillis) {
                machine.moveTo(MemberState.GONE, nowMillis, ++lastVersion);
                gone.add(machine.latest());
            }
        }
        return gone;
    }

    /** The list as it is shown now: late by the lag, or as it was when it was frozen. */
    public synchronized List<Member> list(MemberRole role) {
        long seenMillis = Math.min(time.nowMillis(), frozenAtMillis) - lagMillis;
        return machines.values().stream()
                .filter(machine -> machine.latest().role() == role)
                .map(machine -> machine.at(seenMillis, frozenVersion))
                .flatMap(Optional::stream)
                .filter(member -> !isOld(member, seenMillis))
                .toList();
    }

    /** The actual state of a machine, or empty if it never registered. */
    public synchronized Optional<MemberState> stateOf(MemberRole role, String name) {
        return Optional.ofNullable(machines.get(key(role, name)))
                .map(machine -> machine.latest().state());
    }

    /** Stops or resumes changes of the list; the machines themselves go on changing. */
    public synchronized void freeze(boolean freeze) {
        if (!freeze) {
            frozenAtMillis = NOT_FROZEN;
            frozenVersion = NOT_FROZEN;
        } else if (frozenAtMillis == NOT_FROZEN) {
            frozenAtMillis = time.nowMillis();
            frozenVersion = lastVersion;
        }
    }

    private boolean isOld(Member member, long seenMillis) {
        return member.state() == MemberState.GONE
                && machines.get(keyOf(member)).lastChangeMillis() + KEEP_GONE_MILLIS < seenMillis;
    }

    private void requireFree(Machine machine, long processId) {
        Member latest = machine.latest();
        if (latest.state() == MemberState.GONE) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    "machine \"" + latest.name() + "\" is gone; its name can not be used again");
        }
        if (processId != machine.processId() && machine.runs(probe)) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    "machine \""
                            + latest.name()
                            + "\" is registered by process "
                            + machine.processId()
                            + ", which still runs");
        }
    }

    private Machine require(MemberRole role, String name) {
        Machine machine = machines.get(key(role, name));
        if (machine == null) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_UNKNOWN, "machine \"" + name + "\" never registered");
        }
        return machine;
    }

    private static String keyOf(Member member) {
        return key(member.role(), member.name());
    }

    private static String key(MemberRole role, String name) {
        return role + "/" + name;
    }
}
