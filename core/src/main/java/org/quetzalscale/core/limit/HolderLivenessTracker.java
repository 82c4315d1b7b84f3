package org.quetzalscale.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.resource.QueueSpec;

/**
 * Tells which holders' blocks may be returned by others: those that the platform's list has shown
 * as gone for the longest time that a request may take. A lapsed lease is no reason, because a
 * paused holder may still write to a target. Safe for several threads.
 */
public final class HolderLivenessTracker {
    /** Time from the first sight of a gone holder to the return of its blocks, in milliseconds. */
    public static final long RECLAIM_DELAY_MILLIS = QueueSpec.MAX_TIMEOUT_MILLIS;

    /**
     * Time after which a holder that is missing from the list counts as gone, in milliseconds. The
     * list keeps gone machines for an hour; a new machine may be missing for some seconds.
     */
    public static final long MISSING_TIMEOUT_MILLIS = 3_600_000;

    private final Map<String, Long> goneSince = new HashMap<>();
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private boolean hasList;

    /** Takes over the platform's list of entry instances. */
    public synchronized void update(List<Member> members, long nowMillis) {
        hasList = true;
        listed.clear();
        for (Member member : members) {
            listed.add(member.name());
            missingSince.remove(member.name());
            if (member.state() == MemberState.GONE) {
                goneSince.putIfAbsent(member.name(), nowMillis);
            } else {
                goneSince.remove(member.name());
            }
        }
    }

    /** Whether the holder's block may be returned to the free units now. */
    public synchronized boolean isReclaimable(String holder, long nowMillis) {
        Long gone = goneSince.get(holder);
        if (gone != null) {
            return nowMillis - gone >= RECLAIM_DELAY_MILLIS;
        }
        if (!hasList || listed.contains(holder) || holder.equals(LimitRow.JOBS)) {
            return false;
        }
        return nowMillis - missingSince.computeIfAbsent(holder, name -> nowMillis)
                >= MISSING_TIMEOUT_MILLIS;
    }

    /** Whether the platform's list shows the holder as gone. */
    public synchronized boolean isGone(String holder) {
        return goneSince.containsKey(holder);
    }
}
