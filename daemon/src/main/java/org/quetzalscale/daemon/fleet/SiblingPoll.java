package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.lease.TermValidity;
import org.tinylog.Logger;

/**
 * Asks the siblings, while the store does not confirm the owner's lease, whether one of them could
 * have taken it.
 */
final class SiblingPoll {
    private static final long INTERVAL_MILLIS = 250;

    /** Age of the last confirmation from which the siblings are asked. */
    private static final long MIN_AGE_MILLIS = 1_000;

    private final LoopClock clock;
    private final SiblingViews siblings;
    private final TermValidity validity;
    private final WorkerSession.Term term;
    private boolean asking;
    private boolean valid = true;

    SiblingPoll(
            LoopClock clock,
            SiblingViews siblings,
            TermValidity validity,
            WorkerSession.Term term) {
        this.clock = clock;
        this.siblings = siblings;
        this.validity = validity;
        this.term = term;
    }

    /** Polls until the term ends. */
    void start() {
        if (term.ended()) {
            return;
        }
        clock.after(INTERVAL_MILLIS, this::start);
        long now = clock.nowMillis();
        logChange(now);
        if (!asking && validity.ageMillis(now) >= MIN_AGE_MILLIS) {
            ask(now);
        }
    }

    private void ask(long askedMillis) {
        asking = true;
        siblings.ask()
                .whenComplete(
                        (views, failure) -> {
                            asking = false;
                            if (failure != null) {
                                clock.reportError(failure);
                            } else if (!term.ended()) {
                                apply(views, askedMillis);
                            }
                        });
    }

    private void apply(Optional<List<LeaseView>> views, long askedMillis) {
        if (validity.isSuperseded(views)) {
            term.fenced("sibling");
            return;
        }
        validity.siblingsAnswered(views, askedMillis);
        logChange(clock.nowMillis());
    }

    private void logChange(long nowMillis) {
        boolean validNow = validity.isValid(nowMillis);
        if (validNow == valid) {
            return;
        }
        valid = validNow;
        if (valid) {
            Logger.info("event=term_confirmed");
            term.planSoon();
        } else {
            Logger.warn("event=term_unconfirmed ms={}", validity.ageMillis(nowMillis));
        }
    }
}
