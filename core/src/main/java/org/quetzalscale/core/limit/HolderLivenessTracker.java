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
 * Tracks holders that the platform lists as gone, whose blocks other instances may reclaim. A block
 * is reclaimable once its holder has been gone for the maximum duration of a request, or missing
 * from the list for an hour. An expired lease does not suffice, because a paused holder may still
 * write to a target. Thread-safe.
 */
public final class HolderLivenessTracker {
    /**
     * Delay between the first list that shows a holder as gone and the reclaim of its blocks, in
     * milliseconds: the maximum duration of a request.
     */
    public static final long RECLAIM_DELAY_MILLIS = QueueSpec.MAX_TIMEOUT_MILLIS;

    /**
     * Time after which the block of a holder that is missing from the list is reclaimable, in
     * milliseconds. The platform lists gone machines for an hour, and may list a new machine some
     * seconds late.
     */
    public static final long MISSING_TIMEOUT_MILLIS = 3_600_000;

    private final Map<String, Long> goneSince = new HashMap<>();
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Set<String> listedHolders = new HashSet<>();
    private boolean hasMemberList;

    /** Records the platform's current list of entry instances. */
    public synchronized void update(List<Member> members, long nowMillis) {
        hasMemberList = true;
        listedHolders.clear();
        for (Member member : members) {
            listedHolders.add(member.name());
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
        if (!hasMemberList || listedHolders.contains(holder) || holder.equals(LimitRow.JOBS)) {
            return false;
        }
        return nowMillis - missingSince.computeIfAbsent(holder, name -> nowMillis)
                >= MISSING_TIMEOUT_MILLIS;
    }

    /** Whether the platform lists the holder as gone. */
    public synchronized boolean isGone(String holder) {
        return goneSince.containsKey(holder);
    }
}
