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
    void register(Member member, long processId, String processIdentity, long nowMillis) {
        this.processId = processId;
        this.processIdentity = processIdentity;
        this.missingSinceMillis = NOT_MISSING;
        changes.add(new Change(nowMillis, member));
    }

    Member latest() {
        return changes.get(changes.size() - 1).member();
    }

    long processId() {
        return processId;
    }

    /** The machine as it was at the given time, or empty if it was not registered then. */
    Optional<Member> at(long millis) {
        for (int i = changes.size() - 1; i >= 0; i--) {
            if (changes.get(i).atMillis() <= millis) {
                return Optional.of(changes.get(i).member());
            }
        }
        return Optional.empty();
    }

    long lastChangeMillis() {
        return changes.get(changes.size() - 1).atMillis();
    }

    void moveTo(MemberState state, long nowMillis) {
        Member last = latest();
        if (last.state() == state || last.state() == MemberState.GONE) {
            return;
        }
        changes.add(
                new Change(
                        nowMillis,
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

    private record Change(long atMillis, Member member) {}
}
