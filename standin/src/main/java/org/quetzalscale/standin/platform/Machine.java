package org.quetzalscale.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberState;

/** One registered machine with the history of its states, for a list that lags. */
final class Machine {
    private static final long NOT_MISSING = -1;

    private final List<Change> changes = new ArrayList<>();
    private long processId;
    private String processIdentity;
    private long missingSinceMillis = NOT_MISSING;

    /** Takes over a registration of a new process. */
    void register(
            Member member, long processId, String processIdentity, long nowMillis, long version) {
        this.processId = processId;
        this.processIdentity = processIdentity;
        this.missingSinceMillis = NOT_MISSING;
        changes.add(new Change(nowMillis, version, member));
    }

    Member latest() {
        return changes.get(changes.size() - 1).member();
    }

    long processId() {
        return processId;
    }

    /**
     * The machine as it was at the given time, without changes after the given version; empty if it
     * was not registered then.
     */
    Optional<Member> at(long millis, long lastVersion) {
        for (int i = changes.size() - 1; i >= 0; i--) {
            Change change = changes.get(i);
            if (change.atMillis() <= millis && change.version() <= lastVersion) {
                return Optional.of(change.member());
            }
        }
        return Optional.empty();
    }

    long lastChangeMillis() {
        return changes.get(changes.size() - 1).atMillis();
    }

    void moveTo(MemberState state, long nowMillis, long version) {
        Member last = latest();
        if (last.state() == state || last.state() == MemberState.GONE) {
            return;
        }
        changes.add(
                new Change(
                        nowMillis,
                        version,
                        new Member(last.name(), last.role(), last.zone(), last.address(), state)));
    }

    boolean runs(ProcessProbe probe) {
        return processId == 0
                || probe.identityOf(processId).filter(processIdentity::equals).isPresent();
    }

    /** Time that the process has been missing, in ms; 0 while it runs. */
    long missingMillis(ProcessProbe probe, long nowMillis) {
        if (runs(probe)) {
            missingSinceMillis = NOT_MISSING;
            return 0;
        }
        if (missingSinceMillis == NOT_MISSING) {
            missingSinceMillis = nowMillis;
        }
        return Math.max(1, nowMillis - missingSinceMillis);
    }

    /**
     * A change of the machine's state.
     *
     * @param version number of the change among those of all machines
     */
    private record Change(long atMillis, long version, Member member) {}
}
